package org.cyclamenpaddle.router.configuration;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.PeerMessage;
import org.cyclamenpaddle.peer.net.PeerError;

/** Asks a peer and waits for its answer. */
@FunctionalInterface
public interface PeerRequester {

    /** Sends an ask; the future never fails. */
    CompletableFuture<Either<PeerError, PeerMessage>> request(
            HostRecord to, PeerMessage message, long timeoutMillis);
}
