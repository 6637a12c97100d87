package org.cyclamenpaddle.relay.quota;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.core.id.StreamKey;
import org.cyclamenpaddle.core.id.TeamName;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.HostState;
import org.cyclamenpaddle.fleet.ownership.Rendezvous;

/**
 * Immutable snapshot of the hosts that share limits, and the owners of the limits among them.
 *
 * <p>Owners follow from the names of the hosts alone, so that hosts with the same view agree.
 */
final class QuotaMembers {

    /** Number of shards; each host talks to at most so many owners. */
    static final int SHARDS = 8;

    /** Number of hosts assumed before the first listing, as for the retry budget. */
    static final int ASSUMED_HOSTS = 100;

    /** Number of groups of streams with the same owners. */
    static final int STREAM_SHARDS = 64;

    /** Owners of a shard among all hosts: the primary owner and a deputy for all of them. */
    private static final int GLOBAL_OWNERS = 2;

    /** Deputies of a shard in each failure domain, for when it is cut off. */
    private static final int DOMAIN_DEPUTIES = 2;

    /** The incarnations of other hosts are not known; messages are addressed by name. */
    private static final long ANY_INCARNATION = 1;

    private final HostId mSelf;
    private final Map<HostId, HostRecord> mHosts;
    private final int mHostCount;
    private final boolean mCounted;
    private final long mChangedMillis;
    private final FailureDomain mDomain;
    private final List<HostRecord> mOwnDomain;
    private final List<List<HostId>> mCandidates;
    private final AtomicReferenceArray<List<HostRecord>> mStreamRanks;

    private QuotaMembers(
            PeerAddress self,
            Map<HostId, HostRecord> hosts,
            int hostCount,
            boolean counted,
            long changedMillis,
            AtomicReferenceArray<List<HostRecord>> streamRanks) {
        mStreamRanks = streamRanks;
        mSelf = self.host();
        mDomain = self.domain();
        mHosts = hosts;
        mHostCount = hostCount;
        mCounted = counted;
        mChangedMillis = changedMillis;
        mOwnDomain =
                hosts.values().stream()
                        .filter(host -> host.domain().equals(self.domain()))
                        .toList();
        mCandidates =
                Stream.iterate(0, shard -> shard + 1)
                        .limit(SHARDS)
                        .map(shard -> shardCandidates(shard))
                        .toList();
    }

    /** Returns the view of a host that knows no other one yet. */
    static QuotaMembers unknown(PeerAddress self) {
        return new QuotaMembers(
                self, Map.of(self.host(), record(self)), ASSUMED_HOSTS, false, 0, noRanks());
    }

    /** Returns the view of a host after its first listing. */
    static QuotaMembers of(PeerAddress self, Collection<PeerAddress> listed) {
        return unknown(self).updated(self, listed, 0);
    }

    /** Returns the view of a host after a listing that follows this one. */
    QuotaMembers updated(PeerAddress self, Collection<PeerAddress> listed, long nowMillis) {
        Map<HostId, HostRecord> hosts = new HashMap<>();
        listed.forEach(peer -> hosts.put(peer.host(), record(peer)));
        hosts.put(self.host(), record(self));
        boolean unchanged = mCounted && hosts.keySet().equals(mHosts.keySet());
        return new QuotaMembers(
                self,
                hosts,
                hosts.size(),
                true,
                unchanged ? mChangedMillis : nowMillis,
                unchanged ? mStreamRanks : noRanks());
    }

    /** Returns the shard of a team. */
    static int shard(TeamName team) {
        return (int) Math.floorMod(Rendezvous.hash(team.value()), (long) SHARDS);
    }

    /**
     * Returns the owners that this host may borrow from: the primary owner, a deputy for all hosts,
     * deputies in its own failure domain, and itself.
     */
    List<HostId> candidates(int shard) {
        return mCandidates.get(shard);
    }

    boolean isPrimary(int shard) {
        return mCandidates.get(shard).get(0).equals(mSelf);
    }

    /**
     * Returns the hosts that may lend from the limit of a subject: its owner, a deputy for all
     * hosts, and a deputy in this host's failure domain.
     */
    List<HostId> owners(String subject) {
        return names(
                Stream.concat(
                        Rendezvous.top(subject, mHosts.values(), GLOBAL_OWNERS).stream(),
                        Rendezvous.top(subject, mOwnDomain, 1).stream()));
    }

    private static AtomicReferenceArray<List<HostRecord>> noRanks() {
        return new AtomicReferenceArray<>(STREAM_SHARDS);
    }

    /** Returns the shard of a stream. */
    static int shard(StreamKey stream) {
        return (int) Math.floorMod(stream.hash(), (long) STREAM_SHARDS);
    }

    /**
     * Returns the hosts that remember the streams of a shard: two of all hosts, in two failure
     * domains if there are several, and one in this host's own.
     *
     * @param eligible hosts that can remember streams; the next ones stand in for the others
     */
    List<HostId> streamOwners(int shard, Predicate<HostId> eligible) {
        Optional<HostRecord> first = ranked(shard, eligible).findFirst();
        Stream<HostRecord> elsewhere =
                ranked(shard, eligible)
                        .filter(host -> !host.domain().equals(first.get().domain()))
                        .limit(1);
        Stream<HostRecord> second = ranked(shard, eligible).skip(1).limit(1);
        Stream<HostRecord> own =
                ranked(shard, eligible).filter(host -> host.domain().equals(mDomain)).limit(1);
        return names(
                Stream.concat(
                        Stream.of(first.stream(), elsewhere, second)
                                .flatMap(hosts -> hosts)
                                .limit(GLOBAL_OWNERS),
                        own));
    }

    /**
     * Returns the hosts that may remember the streams of a shard although this host would choose
     * others, since hosts differ in which of them they can reach.
     *
     * @param more number of hosts beyond the owners in this host's view
     */
    List<HostId> possibleStreamOwners(int shard, Predicate<HostId> eligible, int more) {
        return Stream.concat(
                        streamOwners(shard, eligible).stream(),
                        names(ranked(shard, eligible).limit(GLOBAL_OWNERS + more)).stream())
                .distinct()
                .toList();
    }

    /** Returns the eligible hosts in the order of a shard, which is computed once. */
    private Stream<HostRecord> ranked(int shard, Predicate<HostId> eligible) {
        return mStreamRanks
                .updateAndGet(
                        shard,
                        known ->
                                known == null
                                        ? Rendezvous.top(
                                                "stream-" + shard, mHosts.values(), mHosts.size())
                                        : known)
                .stream()
                .filter(host -> eligible.test(host.incarnation().host()));
    }

    /** Returns whether this host is the owner of the limit of a subject in its own view. */
    boolean isOwner(String subject) {
        return owners(subject).get(0).equals(mSelf);
    }

    /** Returns whether the hosts have been listed. */
    boolean counted() {
        return mCounted;
    }

    /** Returns the time at which a listing last changed the hosts. */
    long changedMillis() {
        return mChangedMillis;
    }

    HostId self() {
        return mSelf;
    }

    Set<HostId> hosts() {
        return mHosts.keySet();
    }

    int hostCount() {
        return mHostCount;
    }

    /** Returns the record by which messages are addressed to a host. */
    Optional<HostRecord> find(HostId host) {
        return Optional.ofNullable(mHosts.get(host));
    }

    /** Returns the hosts of {@code earlier} that are no longer members. */
    Set<HostId> goneSince(QuotaMembers earlier) {
        Set<HostId> gone = new HashSet<>(earlier.hosts());
        gone.removeAll(hosts());
        return gone;
    }

    private List<HostId> shardCandidates(int shard) {
        String subject = "quota-" + shard;
        Stream<HostRecord> global =
                Rendezvous.top(subject, mHosts.values(), GLOBAL_OWNERS).stream();
        Stream<HostRecord> deputies = Rendezvous.top(subject, mOwnDomain, DOMAIN_DEPUTIES).stream();
        return names(Stream.of(global, deputies, find(mSelf).stream()).flatMap(hosts -> hosts));
    }

    private static List<HostId> names(Stream<HostRecord> hosts) {
        return hosts.map(host -> host.incarnation().host()).distinct().collect(Collectors.toList());
    }

    private static HostRecord record(PeerAddress peer) {
        return new HostRecord(
                new Incarnation(peer.host(), ANY_INCARNATION),
                peer.domain(),
                peer.endpoint().address(),
                peer.endpoint().port(),
                0,
                HostState.ALIVE);
    }
}
