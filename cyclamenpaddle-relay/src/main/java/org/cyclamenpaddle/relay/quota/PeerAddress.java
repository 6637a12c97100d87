package org.cyclamenpaddle.relay.quota;

import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.relay.settings.Endpoint;

/**
 * Address of a host for the messages between hosts.
 *
 * @param host the host
 * @param domain its failure domain
 * @param endpoint where it listens
 */
public record PeerAddress(HostId host, FailureDomain domain, Endpoint endpoint) {

    public PeerAddress {
        if (host == null || domain == null || endpoint == null) {
            throw new IllegalArgumentException("peer needs a host, a domain and an endpoint");
        }
    }
}
