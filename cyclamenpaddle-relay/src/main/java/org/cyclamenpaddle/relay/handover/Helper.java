package org.cyclamenpaddle.relay.handover;

import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.relay.settings.Endpoint;

/**
 * Host that takes over requests of other hosts.
 *
 * @param host the host
 * @param domain its failure domain
 * @param endpoint where it accepts requests of other hosts
 */
public record Helper(HostId host, FailureDomain domain, Endpoint endpoint) {

    public Helper {
        if (host == null || domain == null || endpoint == null) {
            throw new IllegalArgumentException("helper needs a host, a domain and an endpoint");
        }
    }
}
