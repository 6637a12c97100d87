package org.cyclamenpaddle.fleet.membership;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
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

    private static final String DELEGATE = "delegate:";
    private static final int DELEGATES = 2;

    private record Candidate(HostRecord host, long hash) {

        boolean in(FailureDomain domain) {
            return host.domain().equals(domain);
        }
    }

    private final MembershipSettings mSettings;
    private final List<Candidate> mHosts;
    private final Map<FailureDomain, Long> mDomainSizes;

    /**
     * Creates the plan of a view.
     *
     * @param settings counts of watchers
     * @param hosts hosts that take part, with this host itself
     */
    WatchPlan(MembershipSettings settings, Collection<HostRecord> hosts) {
        mSettings = settings;
        mHosts =
                hosts.stream()
                        .map(host -> new Candidate(host, Rendezvous.hash(host)))
                        .collect(Collectors.toList());
        mDomainSizes =
                hosts.stream()
                        .map(HostRecord::domain)
                        .collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
    }

    /** Returns the hosts to which {@code watched} sends its heartbeats. */
    List<HostRecord> watchersOf(HostRecord watched) {
        Candidate subject = new Candidate(watched, Rendezvous.hash(watched));
        return mHosts.stream()
                .filter(watcher -> watches(watcher, subject))
                .map(Candidate::host)
                .collect(Collectors.toList());
    }

    /** Returns the hosts whose silence {@code watcher} has to notice. */
    Set<HostId> watchedBy(HostRecord watcher) {
        Candidate self = new Candidate(watcher, Rendezvous.hash(watcher));
        return mHosts.stream()
                .filter(watched -> watches(self, watched))
                .map(watched -> MemberView.id(watched.host()))
                .collect(Collectors.toSet());
    }

    /** Returns whom to tell urgent news: the own domain and the delegates of each other one. */
    List<HostRecord> newsTargets(HostRecord self) {
        Stream<HostRecord> delegates =
                mDomainSizes.keySet().stream()
                        .filter(domain -> !domain.equals(self.domain()))
                        .sorted()
                        .flatMap(d -> Rendezvous.top(DELEGATE + d, in(d), DELEGATES).stream());
        return Stream.concat(relayTargets(self).stream(), delegates).collect(Collectors.toList());
    }

    /** Returns whom a delegate tells news from another domain. */
    List<HostRecord> relayTargets(HostRecord self) {
        return in(self.domain()).stream()
                .filter(host -> !MemberView.id(host).equals(MemberView.id(self)))
                .collect(Collectors.toList());
    }

    private boolean watches(Candidate watcher, Candidate watched) {
        if (MemberView.id(watcher.host()).equals(MemberView.id(watched.host()))) {
            return false;
        }
        if (mHosts.size() <= mSettings.fullMeshHosts()) {
            return true;
        }
        boolean local = watcher.in(watched.host().domain());
        long weight = Rendezvous.weight(watched.hash(), watcher.hash());
        long ahead =
                mHosts.stream()
                        .filter(other -> other.in(watched.host().domain()) == local)
                        .filter(other -> other.hash() != watched.hash())
                        .filter(o -> Rendezvous.weight(watched.hash(), o.hash()) > weight)
                        .limit(mSettings.domainWatchers() + mSettings.otherWatchers())
                        .count();
        return ahead < (local ? mSettings.domainWatchers() : remoteWatchers(watched));
    }

    /** Returns how many hosts of other domains watch a host; more if its own domain has few. */
    private long remoteWatchers(Candidate watched) {
        long local = mDomainSizes.getOrDefault(watched.host().domain(), 1L) - 1;
        long missing = Math.max(0, mSettings.domainWatchers() - local);
        return mSettings.otherWatchers() + missing;
    }

    private List<HostRecord> in(FailureDomain domain) {
        return mHosts.stream()
                .filter(candidate -> candidate.in(domain))
                .map(Candidate::host)
                .collect(Collectors.toList());
    }
}
