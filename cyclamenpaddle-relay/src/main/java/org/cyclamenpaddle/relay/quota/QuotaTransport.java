package org.cyclamenpaddle.relay.quota;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.QuotaRequest;
import org.cyclamenpaddle.core.message.QuotaResponse;
import org.cyclamenpaddle.routing.limit.OwnerChoice;

/** Sends reports to other hosts. */
@FunctionalInterface
interface QuotaTransport {

    /**
     * Sends a report.
     *
     * @param timeoutMillis longest wait for the response, in milliseconds
     * @return completes with the response, or how the host failed to respond; never exceptionally
     */
    CompletableFuture<Either<OwnerChoice.FailureKind, QuotaResponse>> send(
            HostRecord to, QuotaRequest request, long timeoutMillis);
}
