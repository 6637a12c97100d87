package org.cyclamenpaddle.core.message;

import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.Incarnation;

/**
 * What is known of an entry host.
 *
 * @param incarnation the host and its life
 * @param domain its failure domain
 * @param address IP number of its peer port
 * @param peerPort TCP port for peers
 * @param httpPort TCP port for callers and operators
 * @param state what the sender believes of it
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
            throw new IllegalArgumentException("host record lacks a part");
        }
    }

    /** Returns this record with another state. */
    public HostRecord withState(HostState newState) {
        return new HostRecord(incarnation, domain, address, peerPort, httpPort, newState);
    }
}
