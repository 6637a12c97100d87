package org.cyclamenpaddle.core.message;

import org.cyclamenpaddle.core.config.BackendRole;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.BackendId;

/**
 * Asks the owner of a backend server's ledger for room on it.
 *
 * @param attempt what the room is for; asking twice for one attempt gives one grant
 * @param backend the backend server
 * @param role what the room is for
 * @param tokens uncached tokens to prefill, or tokens expected to be generated
 * @param pieces memory pieces that are held meanwhile
 * @param transferBytes bytes of KV cache that cross the backend server's link
 * @param neededInMillis when the room is needed at the earliest, from now
 * @param latestInMillis when the room is of no use any more, from now
 * @param holdMillis how long the room is expected to be held
 */
public record GrantRequest(
        AttemptId attempt,
        BackendId backend,
        BackendRole role,
        int tokens,
        int pieces,
        long transferBytes,
        long neededInMillis,
        long latestInMillis,
        long holdMillis)
        implements PeerMessage {

    public GrantRequest {
        if (attempt == null || backend == null || role == null) {
            throw new IllegalArgumentException("grant ask lacks attempt, backend or role");
        }
        if (tokens < 0 || pieces < 0 || transferBytes < 0 || holdMillis < 0) {
            throw new IllegalArgumentException("grant ask of " + attempt + " has a negative size");
        }
    }
}
