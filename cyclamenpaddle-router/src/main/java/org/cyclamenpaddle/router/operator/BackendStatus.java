package org.cyclamenpaddle.router.operator;

import java.util.Optional;
import org.cyclamenpaddle.core.config.BackendRole;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.ServiceName;

/**
 * Status of a backend server as seen by the reporting host.
 *
 * @param backend its name
 * @param domain its failure domain
 * @param service service that the preset in force assigns to it
 * @param role role that the preset in force assigns to it
 * @param owner host that manages its ledger of grants
 * @param reachable whether it responded recently
 * @param slots maximum number of concurrent requests
 * @param freeSlots free slots according to the latest report
 * @param leaving whether it is being drained
 * @param drained whether it is leaving and has no attempts in flight
 */
public record BackendStatus(
        BackendId backend,
        FailureDomain domain,
        Optional<ServiceName> service,
        Optional<BackendRole> role,
        Optional<HostId> owner,
        boolean reachable,
        int slots,
        int freeSlots,
        boolean leaving,
        boolean drained) {

    public BackendStatus {
        if (backend == null || domain == null || service == null || role == null || owner == null) {
            throw new IllegalArgumentException(
                    "backend server status has a null component: " + backend);
        }
    }
}
