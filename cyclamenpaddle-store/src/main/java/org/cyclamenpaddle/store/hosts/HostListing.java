package org.cyclamenpaddle.store.hosts;

import java.util.List;

/**
 * The platform's list of hosts; it lags, so it is only a hint.
 *
 * @param hosts the valid entries
 * @param malformed number of malformed entries, which were skipped
 */
public record HostListing(List<ListedHost> hosts, int malformed) {
    public HostListing {
        hosts = List.copyOf(hosts);
    }
}
