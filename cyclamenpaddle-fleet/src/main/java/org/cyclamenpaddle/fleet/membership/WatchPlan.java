package org.cyclamenpaddle.fleet.membership;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.fleet.ownership.Rendezvous;

/**
 * Who sends heartbeats to whom, worked out alike by all hosts of one view.
 *
 * <p>In a small fleet everyone watches everyone. In a greater one a host sends to a few watchers of
 * its own domain and to one of another domain, which notices when a whole domain falls silent. At
 * 410 hosts full mesh would cost each host 818 heartbeats a second against about 10.
 */
final class WatchPlan {

    private static final String DOMAIN_WATCHER = "domain-watcher:";
    private static final String OTHER_WATCHER = "other-watcher:";
    private static final String DELEGATE = "delegate:";
    private static final int DELEGATES = 2;

    private final MembershipSettings mSettings;
    private final Collection<HostRecord> mHosts;

    /**
     * Creates the plan of a view.
     *
     * @param settings counts of watchers
     * @param hosts hosts that take part, with this host itself
     */
    WatchPlan(MembershipSettings settings, Collection<HostRecord> hosts) {
        mSettings = settings;
        mHosts = hosts;
    }

    /** Returns the hosts to which {@code watched} sends its heartbeats. */
    List<HostRecord> watchersOf(HostRecord watched) {
        List<HostRecord> others =
                mHosts.stream()
                        .filter(host -> !host.incarnation().host().equals(id(watched)))
                        .collect(Collectors.toList());
        if (others.size() < mSettings.fullMeshHosts()) {
            return others;
        }
        List<HostRecord> local = in(others, watched.domain(), true);
        List<HostRecord> remote = in(others, watched.domain(), false);
        int missing = Math.max(0, mSettings.domainWatchers() - local.size());
        return Stream.concat(
                        top(DOMAIN_WATCHER, watched, local, mSettings.domainWatchers()),
                        top(OTHER_WATCHER, watched, remote, mSettings.otherWatchers() + missing))
                .collect(Collectors.toList());
    }

    /** Returns the hosts whose silence {@code watcher} has to notice. */
    Set<HostId> watchedBy(HostRecord watcher, Collection<HostRecord> candidates) {
        return candidates.stream()
                .filter(host -> !id(host).equals(id(watcher)))
                .filter(host -> watchersOf(host).stream().anyMatch(w -> id(w).equals(id(watcher))))
                .map(WatchPlan::id)
                .collect(Collectors.toSet());
    }

    /** Returns whom to tell urgent news: the own domain and the delegates of each other one. */
    List<HostRecord> newsTargets(HostRecord self) {
        Stream<HostRecord> delegates =
                mHosts.stream()
                        .map(HostRecord::domain)
                        .filter(domain -> !domain.equals(self.domain()))
                        .distinct()
                        .flatMap(
                                domain ->
                                        Rendezvous.top(
                                                DELEGATE + domain,
                                                in(mHosts, domain, true),
                                                DELEGATES)
                                                .stream());
        return Stream.concat(relayTargets(self).stream(), delegates).collect(Collectors.toList());
    }

    /** Returns whom a delegate tells news from another domain. */
    List<HostRecord> relayTargets(HostRecord self) {
        return mHosts.stream()
                .filter(host -> host.domain().equals(self.domain()))
                .filter(host -> !id(host).equals(id(self)))
                .collect(Collectors.toList());
    }

    private static Stream<HostRecord> top(
            String prefix, HostRecord subject, List<HostRecord> candidates, int count) {
        return Rendezvous.top(prefix + id(subject), candidates, count).stream();
    }

    private static List<HostRecord> in(
            Collection<HostRecord> hosts, FailureDomain domain, boolean inside) {
        return hosts.stream()
                .filter(host -> host.domain().equals(domain) == inside)
                .collect(Collectors.toList());
    }

    private static HostId id(HostRecord host) {
        return host.incarnation().host();
    }
}
