package org.cyclamenpaddle.peer.net;

import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.cyclamenpaddle.core.message.PeerMessage;

/** Requests to one host that wait for their responses, by correlation number; thread-safe. */
final class PendingRequests {

    private final Map<Long, PendingRequest> mRequests = new ConcurrentHashMap<>();

    private static final class PendingRequest {
        private final CompletableFuture<Either<PeerError, PeerMessage>> mFuture =
                new CompletableFuture<>();
        private volatile OptionalLong mWrittenMillis = OptionalLong.empty();
    }

    CompletableFuture<Either<PeerError, PeerMessage>> add(long correlation) {
        PendingRequest request = new PendingRequest();
        mRequests.put(correlation, request);
        return request.mFuture;
    }

    boolean isEmpty() {
        return mRequests.isEmpty();
    }

    /**
     * Marks a request as written; returns false if it is no longer pending and must not be written.
     */
    boolean markWritten(long correlation, long nowMillis) {
        PendingRequest request = mRequests.get(correlation);
        if (request != null) {
            request.mWrittenMillis = OptionalLong.of(nowMillis);
        }
        return request != null;
    }

    /**
     * Completes the request that a response belongs to.
     *
     * @return whether it was pending; false for a late response
     */
    boolean completeWithResponse(long correlation, PeerMessage response) {
        return complete(correlation, Either.right(response));
    }

    boolean fail(long correlation, PeerError error) {
        return complete(correlation, Either.left(error));
    }

    /**
     * Times a request out and returns when it was written, if it was still pending and had been
     * written.
     */
    OptionalLong timeOut(long correlation) {
        PendingRequest request = mRequests.get(correlation);
        return request != null && fail(correlation, PeerError.TIMED_OUT)
                ? request.mWrittenMillis
                : OptionalLong.empty();
    }

    /** Fails every written request, since its response is lost with the connection. */
    void failWritten() {
        failWhere(true, PeerError.CONNECTION_LOST);
    }

    /** Fails every request that was not written. */
    void failUnwritten() {
        failWhere(false, PeerError.UNREACHABLE);
    }

    void failAllAsClosed() {
        List.copyOf(mRequests.keySet()).forEach(correlation -> fail(correlation, PeerError.CLOSED));
    }

    private void failWhere(boolean written, PeerError error) {
        mRequests.entrySet().stream()
                .filter(entry -> entry.getValue().mWrittenMillis.isPresent() == written)
                .map(Map.Entry::getKey)
                .toList()
                .forEach(correlation -> fail(correlation, error));
    }

    private boolean complete(long correlation, Either<PeerError, PeerMessage> result) {
        PendingRequest request = mRequests.remove(correlation);
        return request != null && request.mFuture.complete(result);
    }
}
