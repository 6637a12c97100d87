package org.cyclamenpaddle.fleet.ownership;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.message.HostRecord;

/**
 * Which host keeps the ledger of a backend server, and which hosts watch the platform.
 *
 * <p>Ownership is soft: hosts whose views differ may name two owners for a moment, which costs
 * efficiency but no safety, as engines refuse work when full.
 */
public final class Ownership {

    private static final String LEDGER = "ledger:";
    private static final String WATCH = "watch:";

    private Ownership() {}

    /**
     * Returns the owner of a backend server's ledger; empty if no host lives.
     *
     * @param backend the backend server
     * @param domain its failure domain
     * @param alive hosts that may own; those of other domains stand in if {@code domain} has none
     */
    public static Optional<HostRecord> owner(
            BackendId backend, FailureDomain domain, Collection<HostRecord> alive) {
        return Rendezvous.top(LEDGER + backend, candidates(domain, alive), 1).stream().findFirst();
    }

    /**
     * Returns the hosts that hold the watches on configuration for a failure domain.
     *
     * @param domain the failure domain
     * @param alive hosts that may watch
     * @param count how many are wanted; fewer if the domain has fewer hosts
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
