package org.cyclamenpaddle.router.request;

import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.message.GrantRequest;
import org.cyclamenpaddle.core.message.GrantResponse;

/** Where room on backend servers is asked for: the owner's ledger, on this host or another. */
public interface GrantClient {

    /** Asks for room; an owner that can't be reached answers {@code UNAVAILABLE}. */
    CompletableFuture<GrantResponse> request(GrantRequest ask);

    /** Gives room back; idempotent. */
    void release(AttemptId attempt, BackendId backend);
}
