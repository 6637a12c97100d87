package org.cyclamenpaddle.core.message;

import java.util.Set;
import org.cyclamenpaddle.core.id.ServiceName;

/**
 * Reports runs that have reached their end, since the sender's previous report.
 *
 * @param service service that ran them
 * @param runs number of runs
 * @param parts fingerprints of all parts of their prompts
 */
public record PartRunNotice(ServiceName service, int runs, Set<Long> parts)
        implements CrashMessage {

    public PartRunNotice {
        parts = Set.copyOf(parts);
    }
}
