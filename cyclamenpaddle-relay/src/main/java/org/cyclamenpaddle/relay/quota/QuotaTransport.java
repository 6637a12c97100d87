package org.cyclamenpaddle.relay.quota;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.QuotaRequest;
import org.cyclamenpaddle.core.message.QuotaResponse;

/** Sends reports to other hosts. */
@FunctionalInterface
interface QuotaTransport {

    /**
     * Sends a report.
     *
     * @return completes with the response, or empty if there is none in time; never exceptionally
     */
    CompletableFuture<Optional<QuotaResponse>> send(HostRecord to, QuotaRequest request);
}
