package org.cyclamenpaddle.fleet.membership;

import java.util.List;
import java.util.Optional;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.HostState;
import org.cyclamenpaddle.fleet.membership.MembershipEffect.Superseded;

/**
 * Processes the host records that other hosts gossip.
 *
 * <p>A later incarnation and a planned stop are accepted as reported, since they can originate only
 * from the host itself. A reported death only triggers a probe.
 */
final class GossipReader {

    private final MemberView mView;
    private final MembershipSettings mSettings;
    private final HeartbeatWriter mWriter;
    private final FailureDetector mFailureDetector;

    GossipReader(
            MemberView view,
            MembershipSettings settings,
            HeartbeatWriter writer,
            FailureDetector failureDetector) {
        mView = view;
        mSettings = settings;
        mWriter = writer;
        mFailureDetector = failureDetector;
    }

    /**
     * Processes one record.
     *
     * @param reported the record
     * @param from the host that sent it
     */
    void read(
            HostRecord reported, HostRecord from, long nowMillis, List<MembershipEffect> effects) {
        if (mView.isSelf(reported)) {
            readSelf(reported, from, effects);
            return;
        }
        Optional<Member> known = mView.table().member(MemberView.id(reported));
        if (known.isEmpty()) {
            if (reported.state() != HostState.DEAD) {
                mView.add(reported, nowMillis, effects);
            }
        } else if (reported.incarnation().supersedes(known.get().record().incarnation())) {
            mView.add(reported, nowMillis, effects);
        } else if (reported.incarnation().equals(known.get().record().incarnation())) {
            readSameIncarnation(known.get(), reported.state(), from, nowMillis, effects);
        }
    }

    /** Processes a record of this host itself. */
    void readSelf(HostRecord reported, HostRecord from, List<MembershipEffect> effects) {
        if (reported.incarnation().supersedes(mView.self().incarnation())) {
            effects.add(new Superseded(reported.incarnation()));
            return;
        }
        boolean suspected =
                reported.state() == HostState.SUSPECT || reported.state() == HostState.DEAD;
        if (suspected && reported.incarnation().equals(mView.self().incarnation())) {
            // A heartbeat with a higher sequence number from this host refutes the suspicion.
            effects.addAll(mWriter.heartbeats(List.of(from), List.of()));
        }
    }

    private void readSameIncarnation(
            Member member,
            HostState reported,
            HostRecord from,
            long nowMillis,
            List<MembershipEffect> effects) {
        switch (reported) {
            case LEAVING -> {
                if (member.markLeaving(nowMillis)) {
                    mView.reportChange(member, effects);
                }
            }
            case DEAD -> readDeath(member, from, nowMillis, effects);
            case ALIVE -> mFailureDetector.probeDead(member, nowMillis, effects);
            default -> {
                // Suspicions of other hosts are ignored until they are confirmed.
            }
        }
    }

    private void readDeath(
            Member member, HostRecord from, long nowMillis, List<MembershipEffect> effects) {
        boolean heardRecently = nowMillis - member.heardMillis() < mSettings.probeTimeoutMillis();
        if (member.dead() || heardRecently || member.suspicion().isPresent()) {
            return;
        }
        boolean otherDomain = !from.domain().equals(mView.self().domain());
        if (otherDomain && member.relayDeathOnce()) {
            List<HostRecord> targets = mView.plan().relayTargets(mView.self());
            effects.addAll(
                    mWriter.heartbeats(
                            targets, List.of(member.record().withState(HostState.DEAD))));
        }
        mFailureDetector.suspect(member, false, nowMillis, effects);
    }
}
