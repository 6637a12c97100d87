package org.cyclamenpaddle.standins.engine;

import io.vavr.control.Either;
import java.util.List;
import java.util.function.Consumer;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.text.PromptText;

/** Prefill attempt, from admission until its result is exported or evicted. */
final class PrefillAttempt {

    private final PrefillRequest mRequest;
    private final long mSequence;
    private final List<Long> mHashes;
    private final int mTokens;
    private final Consumer<Either<EngineRejection, PrefillResponse>> mCallback;
    private int mCachedTokens;
    private long mStartMicros;
    private long mExpiresAtMicros;
    private long mRemainingTimeToLiveMicros;
    private int mOpenExports;

    PrefillAttempt(
            PrefillRequest request,
            long sequence,
            Consumer<Either<EngineRejection, PrefillResponse>> callback) {
        mRequest = request;
        mSequence = sequence;
        mHashes = PromptText.blockHashes(request.prompt());
        mTokens = PromptText.tokens(request.prompt()) + request.prior().size();
        mCallback = callback;
    }

    String id() {
        return mRequest.attempt();
    }

    PrefillRequest request() {
        return mRequest;
    }

    long sequence() {
        return mSequence;
    }

    List<Long> hashes() {
        return mHashes;
    }

    int tokens() {
        return mTokens;
    }

    int pieces() {
        return BackendSpec.piecesFor(mTokens);
    }

    int cachedTokens() {
        return mCachedTokens;
    }

    int uncachedTokens() {
        return mTokens - mCachedTokens;
    }

    long startMicros() {
        return mStartMicros;
    }

    void cached(int tokens) {
        mCachedTokens = Math.min(tokens, mTokens);
    }

    void start(long micros) {
        mStartMicros = micros;
    }

    void complete(Either<EngineRejection, PrefillResponse> result) {
        mCallback.accept(result);
    }

    /** Sets the time to live, counted from {@code now}. */
    void setTimeToLive(long now, long timeToLiveMicros) {
        mExpiresAtMicros = now + timeToLiveMicros;
    }

    boolean expired(long now) {
        return mOpenExports == 0 && now >= mExpiresAtMicros;
    }

    void exportOpened(long now) {
        if (mOpenExports++ == 0) {
            mRemainingTimeToLiveMicros = Math.max(0, mExpiresAtMicros - now);
        }
    }

    /** Returns the remaining time to live if no other export is open, else -1. */
    long exportClosed() {
        return --mOpenExports == 0 ? mRemainingTimeToLiveMicros : -1;
    }
}
