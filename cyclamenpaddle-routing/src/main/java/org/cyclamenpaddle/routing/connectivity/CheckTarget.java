package org.cyclamenpaddle.routing.connectivity;

import org.cyclamenpaddle.core.id.BackendId;

/**
 * Backend server to which a path can be checked.
 *
 * @param server the server
 * @param ownDomain whether it is in this host's failure domain
 */
public record CheckTarget(BackendId server, boolean ownDomain) {

    public CheckTarget {
        if (server == null) {
            throw new IllegalArgumentException("target needs a server");
        }
    }
}
