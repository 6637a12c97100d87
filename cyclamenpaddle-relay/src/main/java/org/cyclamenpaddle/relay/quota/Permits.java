package org.cyclamenpaddle.relay.quota;

import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.core.message.PermitRequest;
import org.cyclamenpaddle.core.message.PermitResponse;

/** Permits calls to backend servers that limit the calls of all hosts together. Thread-safe. */
@FunctionalInterface
public interface Permits {

    /**
     * Asks for permits.
     *
     * @return completes on any thread, never exceptionally; denied if no owner of the limit
     *     responds
     */
    CompletableFuture<PermitResponse> request(PermitRequest request);
}
