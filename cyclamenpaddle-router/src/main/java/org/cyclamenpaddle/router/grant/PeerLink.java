package org.cyclamenpaddle.router.grant;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.PeerMessage;
import org.cyclamenpaddle.peer.net.PeerError;

/** Sends messages to other entry hosts. */
public interface PeerLink {

    /** Sends a message that expects no response. */
    void send(HostRecord to, PeerMessage message);

    /** Sends a request; the future never completes exceptionally. */
    CompletableFuture<Either<PeerError, PeerMessage>> request(
            HostRecord to, PeerMessage message, long timeoutMillis);
}
