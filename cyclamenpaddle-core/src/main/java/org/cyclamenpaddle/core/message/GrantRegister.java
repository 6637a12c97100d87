package org.cyclamenpaddle.core.message;

import java.util.List;

/**
 * Registers with a new owner the reservations that the former owner granted to the sender's
 * attempts.
 *
 * @param held one request for each attempt, with {@code neededInMillis} 0 if it is already running
 */
public record GrantRegister(List<GrantRequest> held) implements PeerMessage {

    public GrantRegister {
        held = List.copyOf(held);
    }
}
