package org.cyclamenpaddle.routing.handover;

import org.cyclamenpaddle.core.id.HostId;

/**
 * Host that may take over requests.
 *
 * @param host the host
 * @param ownDomain whether it is in this host's failure domain
 */
public record HelperCandidate(HostId host, boolean ownDomain) {

    public HelperCandidate {
        if (host == null) {
            throw new IllegalArgumentException("candidate needs a host");
        }
    }
}
