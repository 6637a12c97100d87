package org.cyclamenpaddle.relay.quota;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.PermitRequest;
import org.cyclamenpaddle.core.message.PermitResponse;

/** Sends requests for permits to other hosts. */
@FunctionalInterface
interface PermitTransport {

    /**
     * Sends a request.
     *
     * @return completes with the response, or empty if there is none in time; never exceptionally
     */
    CompletableFuture<Optional<PermitResponse>> send(HostRecord to, PermitRequest request);
}
