package org.cyclamenpaddle.core.message;

import java.util.Set;
import org.cyclamenpaddle.core.id.BackendId;

/**
 * Reports that a request was running on backend servers when they crashed.
 *
 * @param fingerprint hash of service and prompt
 * @param crashedBackends every backend server known to have crashed while running it
 * @param remainingMillis how long the crashes count against the request, in milliseconds from now
 */
public record StrikeNotice(long fingerprint, Set<BackendId> crashedBackends, long remainingMillis)
        implements PeerMessage {

    public StrikeNotice {
        crashedBackends = Set.copyOf(crashedBackends);
    }
}
