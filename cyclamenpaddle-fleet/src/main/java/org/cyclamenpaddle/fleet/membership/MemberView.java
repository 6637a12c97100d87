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

/** This host, the other hosts, and the watch plan that follows from them. */
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

    void leave() {
        mSelf = mSelf.withState(HostState.LEAVING);
        replan();
    }

    Member add(HostRecord record, long nowMillis, List<MembershipEffect> effects) {
        if (mTable.member(id(record)).isPresent()) {
            mSupersededMillis = Optional.of(nowMillis);
        }
        HostRecord unsuspected =
                record.state() == HostState.SUSPECT ? record.withState(HostState.ALIVE) : record;
        Member member = mTable.put(unsuspected, nowMillis);
        replan();
        changed(member, effects);
        return member;
    }

    /** Has the watch plan worked out anew, as the hosts that take part changed. */
    void replan() {
        mPlan = Optional.empty();
    }

    void changed(Member member, List<MembershipEffect> effects) {
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
            List<HostRecord> taking = withSelf(true, mTable.records(m -> !m.dead()));
            WatchPlan plan = new WatchPlan(mSettings, taking);
            mPlan = Optional.of(plan);
            mWatched = plan.watchedBy(mSelf);
            mWatchers = plan.watchersOf(mSelf);
        }
        return mPlan.get();
    }

    /**
     * Returns whether some life of a host ended, or is in doubt, so that its memory may be lost.
     *
     * @param sinceMillis from when on an end counts
     */
    boolean lostSince(long sinceMillis) {
        boolean superseded = mSupersededMillis.filter(at -> at >= sinceMillis).isPresent();
        return superseded
                || mTable.members().stream()
                        .anyMatch(m -> m.inDoubt() || m.dead() && m.changedMillis() >= sinceMillis);
    }

    /** Returns the hosts to which this one sends its heartbeats. */
    List<HostRecord> watchers() {
        plan();
        return mWatchers;
    }

    /** Returns whether it is on this host to notice the silence of a member. */
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
