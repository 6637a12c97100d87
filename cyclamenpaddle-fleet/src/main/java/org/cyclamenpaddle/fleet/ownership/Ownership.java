package org.cyclamenpaddle.fleet.ownership;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.message.HostRecord;

/**
 * Assigns the ledgers of backend servers and the watches of the platform to hosts.
 *
 * <p>Ownership is advisory: hosts with different views may temporarily select two owners, which
 * costs efficiency but not safety, as engines reject work when they are full.
 */
public final class Ownership {

    private static final String LEDGER = "ledger:";
    private static final String WATCH = "watch:";

    private Ownership() {}

    /**
     * Returns the owner of a backend server's ledger; empty if no host is alive.
     *
     * @param backend the backend server
     * @param domain its failure domain
     * @param alive hosts that may own ledgers; hosts of other domains are used only if {@code
     *     domain} has none
     */
    public static Optional<HostRecord> owner(
            BackendId backend, FailureDomain domain, Collection<HostRecord> alive) {
        return Rendezvous.top(LEDGER + backend, candidates(domain, alive), 1).stream().findFirst();
    }

    /**
     * Returns the hosts of a failure domain that watch the configuration in the platform.
     *
     * @param domain the failure domain
     * @param alive hosts that may watch
     * @param count number of requested hosts; fewer are returned if the domain has fewer hosts
     */
    public static List<HostRecord> watchers(
            FailureDomain domain, Collection<HostRecord> alive, int count) {
        return Rendezvous.top(WATCH + domain, candidates(domain, alive), count);
    }

    private static Collection<HostRecord> candidates(
            FailureDomain domain, Collection<HostRecord> alive) {
        List<HostRecord> local =
                alive.stream()
                        .filter(host -> host.domain().equals(domain))
                        .collect(Collectors.toList());
        return local.isEmpty() ? alive : local;
    }
}
