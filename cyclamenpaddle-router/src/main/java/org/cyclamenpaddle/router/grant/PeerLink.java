package org.cyclamenpaddle.router.grant;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.PeerMessage;
import org.cyclamenpaddle.peer.net.PeerError;

/** Messages to other entry hosts. */
public interface PeerLink {

    /** Sends a message that takes no answer. */
    void send(HostRecord to, PeerMessage message);

    /** Sends an ask; the future never fails. */
    CompletableFuture<Either<PeerError, PeerMessage>> request(
            HostRecord to, PeerMessage message, long timeoutMillis);
}
