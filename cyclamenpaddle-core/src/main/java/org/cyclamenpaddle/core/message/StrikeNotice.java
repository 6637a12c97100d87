package org.cyclamenpaddle.core.message;

import java.util.Set;
import org.cyclamenpaddle.core.id.BackendId;

/**
 * Tells that a request was on backend servers when they died.
 *
 * @param fingerprint hash of service and prompt
 * @param crashedBackends every backend server known to have died with it
 * @param remainingMillis how long the strikes count, from now
 */
public record StrikeNotice(long fingerprint, Set<BackendId> crashedBackends, long remainingMillis)
        implements PeerMessage {

    public StrikeNotice {
        crashedBackends = Set.copyOf(crashedBackends);
    }
}
