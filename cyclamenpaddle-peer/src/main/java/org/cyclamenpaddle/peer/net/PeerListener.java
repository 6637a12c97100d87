package org.cyclamenpaddle.peer.net;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.PeerMessage;

/**
 * Receives the messages of other hosts. Called on I/O threads; must not block.
 *
 * <p>A thrown exception closes the connection; a future that completes exceptionally leaves the
 * request without a response. A broken invariant is also passed to the thread's uncaught exception
 * handler.
 */
@FunctionalInterface
public interface PeerListener {

    /**
     * Handles a message.
     *
     * @param from the sender, as given in the {@code Hello} of the connection
     * @param message the message; never a {@code Hello}
     * @return completes with the response; empty for a message that takes none
     */
    CompletableFuture<Optional<PeerMessage>> onMessage(HostRecord from, PeerMessage message);
}
