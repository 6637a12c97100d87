package org.cyclamenpaddle.core.message;

import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.Incarnation;

/**
 * Identity, addresses and state of an entry host.
 *
 * @param incarnation the host and the incarnation of its process
 * @param domain its failure domain
 * @param address IP number of its peer port
 * @param peerPort TCP port for peers
 * @param httpPort TCP port for callers and operators
 * @param state state of the host in the sender's view
 */
public record HostRecord(
        Incarnation incarnation,
        FailureDomain domain,
        String address,
        int peerPort,
        int httpPort,
        HostState state) {

    public HostRecord {
        if (incarnation == null || domain == null || address == null || state == null) {
            throw new IllegalArgumentException(
                    "host record needs an incarnation, a domain, an address and a state");
        }
    }

    /** Returns this record with another state. */
    public HostRecord withState(HostState newState) {
        return new HostRecord(incarnation, domain, address, peerPort, httpPort, newState);
    }
}
