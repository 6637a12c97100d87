package org.cyclamenpaddle.core.message;

import org.cyclamenpaddle.core.config.BackendRole;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.BackendId;

/**
 * Requests a reservation of capacity on a backend server from the owner of its ledger.
 *
 * @param attempt the attempt that needs the capacity; repeated requests for one attempt yield one
 *     grant
 * @param backend the backend server
 * @param role the role in which the backend server is used
 * @param tokens uncached tokens to prefill, or tokens expected to be generated
 * @param pieces KV cache blocks that the attempt occupies
 * @param transferBytes bytes of KV cache transferred over the backend server's link
 * @param neededInMillis earliest time at which the capacity is needed, in milliseconds from now
 * @param latestInMillis latest start that is still useful, in milliseconds from now
 * @param holdMillis expected duration of the reservation, in milliseconds
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
            throw new IllegalArgumentException(
                    "grant request needs an attempt, a backend server and a role");
        }
        if (tokens < 0 || pieces < 0 || transferBytes < 0 || holdMillis < 0) {
            throw new IllegalArgumentException(
                    "grant request of " + attempt + " has a negative size or duration");
        }
    }
}
