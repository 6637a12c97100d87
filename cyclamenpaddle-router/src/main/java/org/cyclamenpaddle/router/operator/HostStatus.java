package org.cyclamenpaddle.router.operator;

import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.message.HostState;

/**
 * Status of an entry host as seen by the reporting host.
 *
 * @param host its name
 * @param domain its failure domain
 * @param state its membership state
 * @param sameConfiguration whether its configuration digest equals the reporting host's
 * @param inForceVersion version of the object that names the preset in force there; 0 if none
 */
public record HostStatus(
        HostId host,
        FailureDomain domain,
        HostState state,
        boolean sameConfiguration,
        long inForceVersion) {

    public HostStatus {
        if (host == null || domain == null || state == null) {
            throw new IllegalArgumentException("host status has a null component: " + host);
        }
    }
}
