package org.cyclamenpaddle.router.request;

import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.message.GrantRequest;
import org.cyclamenpaddle.core.message.GrantResponse;

/** Where room on backend servers is asked for: the owner's ledger, on this host or another. */
public interface GrantSource {

    /** Asks for room; an owner that can't be reached answers {@code UNAVAILABLE}. */
    CompletableFuture<GrantResponse> ask(GrantRequest ask);

    /** Gives room back; idempotent. */
    void end(AttemptId attempt, BackendId backend);
}
