package org.cyclamenpaddle.router.operator;

import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.message.HostState;

/**
 * An entry host as the reporting host sees it.
 *
 * @param host its name
 * @param domain its failure domain
 * @param state what is believed of it
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
            throw new IllegalArgumentException("host status lacks a part: " + host);
        }
    }
}
