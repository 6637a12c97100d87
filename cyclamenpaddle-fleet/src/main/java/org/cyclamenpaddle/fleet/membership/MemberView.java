package org.cyclamenpaddle.fleet.membership;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.HostState;
import org.cyclamenpaddle.fleet.membership.MembershipEffect.HostChanged;

/** View of this host and the other hosts, with the watch plan derived from it. */
final class MemberView {

    private final MembershipSettings mSettings;
    private final MemberTable mTable = new MemberTable();
    private HostRecord mSelf;
    private Optional<WatchPlan> mPlan = Optional.empty();
    private Optional<Long> mSupersededMillis = Optional.empty();
    private Set<HostId> mWatched = Set.of();
    private List<HostRecord> mWatchers = List.of();

    MemberView(HostRecord self, MembershipSettings settings) {
        mSelf = self;
        mSettings = settings;
    }

    HostRecord self() {
        return mSelf;
    }

    MemberTable table() {
        return mTable;
    }

    boolean isSelf(HostRecord record) {
        return id(record).equals(id(mSelf));
    }

    void markLeaving() {
        mSelf = mSelf.withState(HostState.LEAVING);
        invalidatePlan();
    }

    Member add(HostRecord record, long nowMillis, List<MembershipEffect> effects) {
        if (mTable.member(id(record)).isPresent()) {
            mSupersededMillis = Optional.of(nowMillis);
        }
        HostRecord initial =
                record.state() == HostState.SUSPECT ? record.withState(HostState.ALIVE) : record;
        Member member = mTable.put(initial, nowMillis);
        invalidatePlan();
        reportChange(member, effects);
        return member;
    }

    /** Invalidates the watch plan after a change of the participating hosts. */
    void invalidatePlan() {
        mPlan = Optional.empty();
    }

    void reportChange(Member member, List<MembershipEffect> effects) {
        effects.add(new HostChanged(member.record()));
    }

    List<HostRecord> hosts() {
        return withSelf(true, mTable.records(member -> true));
    }

    List<HostRecord> alive() {
        return withSelf(mSelf.state() == HostState.ALIVE, mTable.records(Member::usable));
    }

    Optional<HostRecord> record(HostId host) {
        return host.equals(id(mSelf))
                ? Optional.of(mSelf)
                : mTable.member(host).map(Member::record);
    }

    WatchPlan plan() {
        if (mPlan.isEmpty()) {
            List<HostRecord> participants = withSelf(true, mTable.records(m -> !m.dead()));
            WatchPlan plan = new WatchPlan(mSettings, participants);
            mPlan = Optional.of(plan);
            mWatched = plan.watchedBy(mSelf);
            mWatchers = plan.watchersOf(mSelf);
        }
        return mPlan.get();
    }

    /**
     * Returns whether an incarnation of a host ended or is suspected, so that its records may be
     * lost.
     *
     * @param sinceMillis earliest end that counts, as a reading of this host's clock
     */
    boolean hostLostSince(long sinceMillis) {
        boolean superseded = mSupersededMillis.filter(at -> at >= sinceMillis).isPresent();
        return superseded
                || mTable.members().stream()
                        .anyMatch(
                                m -> m.suspected() || m.dead() && m.changedMillis() >= sinceMillis);
    }

    /** Returns the hosts to which this host sends its heartbeats. */
    List<HostRecord> watchers() {
        plan();
        return mWatchers;
    }

    /** Returns whether this host is responsible for detecting the silence of a member. */
    boolean watches(Member member) {
        plan();
        return mWatched.contains(id(member.record()));
    }

    static HostId id(HostRecord record) {
        return record.incarnation().host();
    }

    private List<HostRecord> withSelf(boolean self, List<HostRecord> others) {
        return Stream.concat(self ? Stream.of(mSelf) : Stream.empty(), others.stream())
                .collect(Collectors.toList());
    }
}
