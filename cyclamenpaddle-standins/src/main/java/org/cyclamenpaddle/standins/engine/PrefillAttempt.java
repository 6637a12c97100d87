package org.cyclamenpaddle.standins.engine;

import io.vavr.control.Either;
import java.util.List;
import java.util.function.Consumer;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.text.PromptText;

/** One prefill from its acceptance to the end of its result. */
final class PrefillAttempt {

    private final PrefillAsk mAsk;
    private final long mOrder;
    private final List<Long> mHashes;
    private final int mTokens;
    private final Consumer<Either<EngineRefusal, PrefillDone>> mAnswer;
    private int mCachedTokens;
    private long mStartMicros;
    private long mEvictAtMicros;
    private long mLifeLeftMicros;
    private int mOpenExports;

    PrefillAttempt(
            PrefillAsk ask, long order, Consumer<Either<EngineRefusal, PrefillDone>> answer) {
        mAsk = ask;
        mOrder = order;
        mHashes = PromptText.blockHashes(ask.prompt());
        mTokens = PromptText.tokens(ask.prompt()) + ask.prior().size();
        mAnswer = answer;
    }

    String id() {
        return mAsk.attempt();
    }

    PrefillAsk ask() {
        return mAsk;
    }

    long order() {
        return mOrder;
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

    void answer(Either<EngineRefusal, PrefillDone> answer) {
        mAnswer.accept(answer);
    }

    /** Sets the life left from {@code now} on. */
    void live(long now, long lifeMicros) {
        mEvictAtMicros = now + lifeMicros;
    }

    boolean due(long now) {
        return mOpenExports == 0 && now >= mEvictAtMicros;
    }

    void exportOpened(long now) {
        if (mOpenExports++ == 0) {
            mLifeLeftMicros = Math.max(0, mEvictAtMicros - now);
        }
    }

    /** Returns the life left if no export is open any more, else -1. */
    long exportClosed() {
        return --mOpenExports == 0 ? mLifeLeftMicros : -1;
    }
}
