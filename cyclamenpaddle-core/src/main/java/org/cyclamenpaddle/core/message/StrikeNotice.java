package org.cyclamenpaddle.core.message;

import java.util.Set;
import org.cyclamenpaddle.core.id.BackendId;

/**
 * Tells that a request was on backend servers when they died.
 *
 * @param fingerprint hash of service and prompt
 * @param struck every backend server known to have died with it
 * @param remainingMillis how long the strikes count, from now
 */
public record StrikeNotice(long fingerprint, Set<BackendId> struck, long remainingMillis)
        implements PeerMessage {

    public StrikeNotice {
        struck = Set.copyOf(struck);
    }
}
