package org.cyclamenpaddle.core.message;

import java.util.Set;
import org.cyclamenpaddle.core.id.ServiceName;

/**
 * Asks for reports of the runs of a service that reach their end.
 *
 * @param service the service
 * @param remainingMillis how long they are needed, in milliseconds from now
 * @param suspects fingerprints of parts that may end servers; requests with them are held back
 */
public record PartTrackingNotice(ServiceName service, long remainingMillis, Set<Long> suspects)
        implements CrashMessage {

    public PartTrackingNotice {
        suspects = Set.copyOf(suspects);
    }
}
