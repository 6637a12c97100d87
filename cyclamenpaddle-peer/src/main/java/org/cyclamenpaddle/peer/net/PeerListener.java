package org.cyclamenpaddle.peer.net;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.PeerMessage;

/**
 * Takes the messages of other hosts. Called on I/O threads; must not block.
 *
 * <p>An exception ends the connection, or leaves the ask without an answer. A broken invariant goes
 * to the thread's uncaught exception handler besides.
 */
@FunctionalInterface
public interface PeerListener {

    /**
     * Takes a message.
     *
     * @param from who sent it, as said in the {@code Hello} of the connection
     * @param message the message; never a {@code Hello}
     * @return the answer, now or later; empty for a message that takes none
     */
    CompletableFuture<Optional<PeerMessage>> onMessage(HostRecord from, PeerMessage message);
}
