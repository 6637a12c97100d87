package org.cyclamenpaddle.standins.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/** One decode from its acceptance until its events are forgotten. */
final class DecodeAttempt {

    private final DecodeAsk mAsk;
    private final List<EngineEvent> mEvents = new ArrayList<>();
    private final List<Predicate<EngineEvent>> mListeners = new ArrayList<>();
    private Optional<KvCache> mCache = Optional.empty();
    private Runnable mAbortFetch = () -> {};
    private int mNextIndex;
    private int mPieces;
    private boolean mEnded;

    DecodeAttempt(DecodeAsk ask) {
        mAsk = ask;
        mNextIndex = ask.firstIndex();
    }

    String id() {
        return mAsk.attempt();
    }

    DecodeAsk ask() {
        return mAsk;
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

    void fetching(Runnable abort) {
        mAbortFetch = abort;
    }

    void abortFetch() {
        mAbortFetch.run();
        mAbortFetch = () -> {};
    }

    void hold(int pieces) {
        mPieces = pieces;
    }

    void imported(KvCache cache) {
        mCache = Optional.of(cache);
        emit(new EngineEvent.Imported(cache.bytes()));
    }

    /**
     * Emits the next token, and the end after the last one.
     *
     * @param meanTokens mean length of an answer that stops by itself; 0 if none does
     */
    void step(int meanTokens) {
        long hash = mCache.orElseThrow().hash();
        int stop = CompletionText.length(hash, meanTokens);
        int end = Math.min(stop, mAsk.maxTokens());
        if (mNextIndex < end) {
            emit(new EngineEvent.Token(mNextIndex, CompletionText.token(hash, mNextIndex)));
            mNextIndex++;
        }
        if (mNextIndex >= end) {
            String reason = stop <= mAsk.maxTokens() ? "stop" : "length";
            finish(new EngineEvent.End(mNextIndex, reason));
        }
    }

    void finish(EngineEvent event) {
        mEnded = true;
        emit(event);
        mListeners.clear();
    }

    /**
     * Passes the events from a token index on, those already there first.
     *
     * @param index first token index
     * @param listener returns whether it wants more
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
