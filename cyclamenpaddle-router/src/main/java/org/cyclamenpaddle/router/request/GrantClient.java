package org.cyclamenpaddle.router.request;

import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.message.GrantRequest;
import org.cyclamenpaddle.core.message.GrantResponse;

/**
 * Requests and releases reservations on backend servers in the owner's ledger, on this host or a
 * peer.
 */
public interface GrantClient {

    /** Requests a reservation; completes with {@code UNAVAILABLE} if the owner is unreachable. */
    CompletableFuture<GrantResponse> request(GrantRequest request);

    /** Releases the reservation of an attempt; idempotent. */
    void release(AttemptId attempt, BackendId backend);
}
