package org.cyclamenpaddle.peer.net;

import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.cyclamenpaddle.core.message.PeerMessage;

/** Asks to one host that wait for their answers, by correlation number; thread-safe. */
final class PendingAsks {

    private final Map<Long, Ask> mAsks = new ConcurrentHashMap<>();

    private static final class Ask {
        private final CompletableFuture<Either<PeerError, PeerMessage>> mFuture =
                new CompletableFuture<>();
        private volatile OptionalLong mWrittenMillis = OptionalLong.empty();
    }

    CompletableFuture<Either<PeerError, PeerMessage>> add(long correlation) {
        Ask ask = new Ask();
        mAsks.put(correlation, ask);
        return ask.mFuture;
    }

    boolean isEmpty() {
        return mAsks.isEmpty();
    }

    /** Marks an ask as written; returns false if it waits no more and need not be written. */
    boolean written(long correlation, long nowMillis) {
        Ask ask = mAsks.get(correlation);
        if (ask != null) {
            ask.mWrittenMillis = OptionalLong.of(nowMillis);
        }
        return ask != null;
    }

    /**
     * Completes the ask that an answer belongs to.
     *
     * @return whether there was one; there is none for an answer that came late
     */
    boolean answer(long correlation, PeerMessage answer) {
        return complete(correlation, Either.right(answer));
    }

    boolean fail(long correlation, PeerError error) {
        return complete(correlation, Either.left(error));
    }

    /** Times an ask out and returns when it was written, if it still waited and ever was. */
    OptionalLong timeOut(long correlation) {
        Ask ask = mAsks.get(correlation);
        return ask != null && fail(correlation, PeerError.TIMED_OUT)
                ? ask.mWrittenMillis
                : OptionalLong.empty();
    }

    /** Fails every ask that was written, since its connection is gone and its answer with it. */
    void connectionLost() {
        failWhere(true, PeerError.CONNECTION_LOST);
    }

    /** Fails every ask that was not written. */
    void unreachable() {
        failWhere(false, PeerError.UNREACHABLE);
    }

    void closed() {
        List.copyOf(mAsks.keySet()).forEach(correlation -> fail(correlation, PeerError.CLOSED));
    }

    private void failWhere(boolean written, PeerError error) {
        mAsks.entrySet().stream()
                .filter(entry -> entry.getValue().mWrittenMillis.isPresent() == written)
                .map(Map.Entry::getKey)
                .toList()
                .forEach(correlation -> fail(correlation, error));
    }

    private boolean complete(long correlation, Either<PeerError, PeerMessage> result) {
        Ask ask = mAsks.remove(correlation);
        return ask != null && ask.mFuture.complete(result);
    }
}
