package org.cyclamenpaddle.peer.net;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.PeerMessage;

/** Takes the messages of other hosts. Called on I/O threads; must not block. */
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
