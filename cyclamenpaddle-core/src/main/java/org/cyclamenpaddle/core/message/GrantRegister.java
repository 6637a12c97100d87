package org.cyclamenpaddle.core.message;

import java.util.List;

/**
 * Tells a new owner of the room that the sender's attempts hold under the former owner.
 *
 * @param held one ask for each attempt, with {@code neededInMillis} 0 if it runs already
 */
public record GrantRegister(List<GrantRequest> held) implements PeerMessage {

    public GrantRegister {
        held = List.copyOf(held);
    }
}
