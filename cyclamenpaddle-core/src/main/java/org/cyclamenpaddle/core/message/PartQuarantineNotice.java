package org.cyclamenpaddle.core.message;

import java.util.Set;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.ServiceName;

/**
 * Reports that backend servers end under a part of prompts.
 *
 * @param service service of the servers
 * @param part fingerprint of the part
 * @param servers incarnations that have ended under it
 * @param agoMillis time since the first of these ends, in milliseconds; a host on which a run with
 *     the part has reached its end since then objects
 * @param remainingMillis how long requests with the part are refused, in milliseconds from now
 */
public record PartQuarantineNotice(
        ServiceName service,
        long part,
        Set<BackendId> servers,
        long agoMillis,
        long remainingMillis)
        implements CrashMessage {

    public PartQuarantineNotice {
        servers = Set.copyOf(servers);
    }
}
