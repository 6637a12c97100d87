package org.cyclamenpaddle.core.message;

import java.util.Set;
import org.cyclamenpaddle.core.id.BackendId;

/**
 * Reports that a request was running on backend servers when they crashed, or that it has run to
 * its end since.
 *
 * @param fingerprint hash that identifies the request when it is sent again
 * @param crashedBackends every backend server known to have crashed while running it; empty if it
 *     has run to its end
 * @param remainingMillis how long the crashes count against the request, in milliseconds from now
 */
public record StrikeNotice(long fingerprint, Set<BackendId> crashedBackends, long remainingMillis)
        implements CrashMessage {

    public StrikeNotice {
        crashedBackends = Set.copyOf(crashedBackends);
    }
}
