package org.cyclamenpaddle.router.operator;

import java.util.Optional;
import org.cyclamenpaddle.core.config.BackendRole;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.ServiceName;

/**
 * A backend server as the reporting host sees it.
 *
 * @param backend its name
 * @param domain its failure domain
 * @param service service that the preset in force gives it
 * @param role role that the preset in force gives it
 * @param owner host that keeps its ledger of grants
 * @param reachable whether it answered lately
 * @param slots requests it can hold
 * @param freeSlots slots not taken, by the latest knowledge
 * @param leaving whether it was asked to drain
 * @param drained whether it is leaving and holds nothing any more
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
            throw new IllegalArgumentException("backend server status lacks a part: " + backend);
        }
    }
}
