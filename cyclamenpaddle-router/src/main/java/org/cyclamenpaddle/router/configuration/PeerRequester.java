package org.cyclamenpaddle.router.configuration;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.PeerMessage;
import org.cyclamenpaddle.peer.net.PeerError;

/** Sends requests to peers and receives their responses. */
@FunctionalInterface
public interface PeerRequester {

    /** Sends a request; the future never completes exceptionally. */
    CompletableFuture<Either<PeerError, PeerMessage>> request(
            HostRecord to, PeerMessage message, long timeoutMillis);
}
