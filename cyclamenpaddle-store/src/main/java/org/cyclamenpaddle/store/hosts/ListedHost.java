package org.cyclamenpaddle.store.hosts;

import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.HostId;

/**
 * An entry host in the platform's list.
 *
 * @param host its name
 * @param address its IP address
 * @param peerPort TCP port for peers
 * @param httpPort TCP port for callers and operators
 * @param domain its failure domain
 * @param leaving whether the platform is about to remove it
 */
public record ListedHost(
        HostId host,
        String address,
        int peerPort,
        int httpPort,
        FailureDomain domain,
        boolean leaving) {
    public ListedHost {
        if (address == null || address.isEmpty()) {
            throw new IllegalArgumentException("listed host " + host + " must have an address");
        }
    }
}
