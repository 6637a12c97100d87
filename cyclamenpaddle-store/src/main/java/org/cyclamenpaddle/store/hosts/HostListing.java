package org.cyclamenpaddle.store.hosts;

import java.util.List;

/**
 * The platform's list of hosts; lagging, so only a hint.
 *
 * @param hosts the entries that could be read
 * @param malformed how many entries could not, and were left out
 */
public record HostListing(List<ListedHost> hosts, int malformed) {
    public HostListing {
        hosts = List.copyOf(hosts);
    }
}
