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
 * Assigns watchers to hosts; all hosts with the same view compute the same plan.
 *
 * <p>In a small fleet every host watches every other. In a larger one a host sends heartbeats to a
 * few watchers of its own domain and to one of another domain, which detects the failure of an
 * entire domain. At 410 hosts a full mesh would cost each host 818 heartbeats per second instead of
 * about 10.
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
     * @param settings numbers of watchers
     * @param hosts participating hosts, including this host
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

    /** Returns the hosts whose silence {@code watcher} must detect. */
    Set<HostId> watchedBy(HostRecord watcher) {
        Candidate self = new Candidate(watcher, Rendezvous.hash(watcher));
        return mHosts.stream()
                .filter(watched -> watches(self, watched))
                .map(watched -> MemberView.id(watched.host()))
                .collect(Collectors.toSet());
    }

    /**
     * Returns the recipients of a death notice: the other hosts of this domain, and the delegates
     * of every other domain.
     */
    List<HostRecord> deathNoticeTargets(HostRecord self) {
        Stream<HostRecord> delegates =
                mDomainSizes.keySet().stream()
                        .filter(domain -> !domain.equals(self.domain()))
                        .sorted()
                        .flatMap(d -> Rendezvous.top(DELEGATE + d, in(d), DELEGATES).stream());
        return Stream.concat(relayTargets(self).stream(), delegates).collect(Collectors.toList());
    }

    /** Returns the hosts to which a delegate relays a death notice from another domain. */
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

    /**
     * Returns the number of watchers from other domains; greater if the host's own domain is small.
     */
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
