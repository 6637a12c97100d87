package org.cyclamenpaddle.standins.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/** Decode attempt, from admission until its events are discarded. */
final class DecodeAttempt {

    private final DecodeRequest mRequest;
    private final List<EngineEvent> mEvents = new ArrayList<>();
    private final List<Predicate<EngineEvent>> mListeners = new ArrayList<>();
    private Optional<KvCache> mCache = Optional.empty();
    private Runnable mAbortFetch = () -> {};
    private int mNextIndex;
    private int mPieces;
    private boolean mEnded;

    DecodeAttempt(DecodeRequest request) {
        mRequest = request;
        mNextIndex = request.firstIndex();
    }

    String id() {
        return mRequest.attempt();
    }

    DecodeRequest request() {
        return mRequest;
    }

    int pieces() {
        return mPieces;
    }

    int nextIndex() {
        return mNextIndex;
    }

    boolean ended() {
        return mEnded;
    }

    Optional<KvCache> cache() {
        return mCache;
    }

    void setAbortFetch(Runnable abort) {
        mAbortFetch = abort;
    }

    void abortFetch() {
        mAbortFetch.run();
        mAbortFetch = () -> {};
    }

    void setPieces(int pieces) {
        mPieces = pieces;
    }

    void imported(KvCache cache) {
        mCache = Optional.of(cache);
        emit(new EngineEvent.Imported(cache.bytes()));
    }

    /**
     * Emits the next token, followed by the end event after the last token.
     *
     * @param meanTokens mean completion length; 0 if completions never stop before their limit
     */
    void step(int meanTokens) {
        long hash = mCache.orElseThrow().hash();
        int stop = CompletionText.length(hash, meanTokens);
        int end = Math.min(stop, mRequest.maxTokens());
        if (mNextIndex < end) {
            emit(new EngineEvent.Token(mNextIndex, CompletionText.token(hash, mNextIndex)));
            mNextIndex++;
        }
        if (mNextIndex >= end) {
            String reason = stop <= mRequest.maxTokens() ? "stop" : "length";
            finish(new EngineEvent.End(mNextIndex, reason));
        }
    }

    void finish(EngineEvent event) {
        mEnded = true;
        emit(event);
        mListeners.clear();
    }

    /**
     * Delivers past and future events, starting from a token index.
     *
     * @param index index of the first token to deliver
     * @param listener receives each event; returns false to unsubscribe
     */
    void subscribe(int index, Predicate<EngineEvent> listener) {
        Predicate<EngineEvent> filtered = event -> !event.from(index) || listener.test(event);
        boolean open = mEvents.stream().allMatch(filtered);
        if (open && !mEnded) {
            mListeners.add(filtered);
        }
    }

    private void emit(EngineEvent event) {
        mEvents.add(event);
        mListeners.removeIf(listener -> !listener.test(event));
    }
}
