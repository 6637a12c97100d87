package org.cyclamenpaddle.relay.quota;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.StreamNotice;
import org.cyclamenpaddle.core.message.StreamNoticeResponse;
import org.cyclamenpaddle.core.message.StreamRequest;
import org.cyclamenpaddle.core.message.StreamResponse;
import org.cyclamenpaddle.routing.limit.OwnerChoice;

/** Sends messages about streams to other hosts; futures never fail. */
interface StreamTransport {

    /** Sends a notice and completes with its confirmation. */
    CompletableFuture<Either<OwnerChoice.FailureKind, StreamNoticeResponse>> send(
            HostRecord to, StreamNotice notice);

    /** Asks for a stream. */
    CompletableFuture<Either<OwnerChoice.FailureKind, StreamResponse>> ask(
            HostRecord to, StreamRequest request);
}
