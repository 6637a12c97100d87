package org.cyclamenpaddle.fleet.membership;

import java.util.List;
import java.util.Optional;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.HostState;
import org.cyclamenpaddle.fleet.membership.MembershipEffect.Superseded;

/**
 * Takes in what a host says of others.
 *
 * <p>A later incarnation and a planned stop are taken as said, since only the host itself can have
 * been their source. A death is a reason to try.
 */
final class GossipReader {

    private final MemberView mView;
    private final MembershipSettings mSettings;
    private final HeartbeatWriter mWriter;
    private final Confirmation mConfirmation;

    GossipReader(
            MemberView view,
            MembershipSettings settings,
            HeartbeatWriter writer,
            Confirmation confirmation) {
        mView = view;
        mSettings = settings;
        mWriter = writer;
        mConfirmation = confirmation;
    }

    /**
     * Takes one record in.
     *
     * @param said the record
     * @param from who said it
     */
    void read(HostRecord said, HostRecord from, long nowMillis, List<MembershipEffect> effects) {
        if (mView.isSelf(said)) {
            readOwn(said, from, effects);
            return;
        }
        Optional<Member> known = mView.table().member(MemberView.id(said));
        if (known.isEmpty()) {
            if (said.state() != HostState.DEAD) {
                mView.add(said, nowMillis, effects);
            }
        } else if (said.incarnation().supersedes(known.get().record().incarnation())) {
            mView.add(said, nowMillis, effects);
        } else if (said.incarnation().equals(known.get().record().incarnation())) {
            readSameLife(known.get(), said.state(), from, nowMillis, effects);
        }
    }

    /** Takes in what is said of this host itself. */
    void readOwn(HostRecord said, HostRecord from, List<MembershipEffect> effects) {
        if (said.incarnation().supersedes(mView.self().incarnation())) {
            effects.add(new Superseded(said.incarnation()));
            return;
        }
        boolean doubted = said.state() == HostState.SUSPECT || said.state() == HostState.DEAD;
        if (doubted && said.incarnation().equals(mView.self().incarnation())) {
            // A heartbeat of higher number from this host itself refutes it.
            effects.addAll(mWriter.to(List.of(from), List.of()));
        }
    }

    private void readSameLife(
            Member member,
            HostState said,
            HostRecord from,
            long nowMillis,
            List<MembershipEffect> effects) {
        switch (said) {
            case LEAVING -> {
                if (member.leave(nowMillis)) {
                    mView.changed(member, effects);
                }
            }
            case DEAD -> readDeath(member, from, nowMillis, effects);
            case ALIVE -> mConfirmation.retryDead(member, nowMillis, effects);
            default -> {
                // Another host's suspicion is its own matter until it is confirmed.
            }
        }
    }

    private void readDeath(
            Member member, HostRecord from, long nowMillis, List<MembershipEffect> effects) {
        boolean heardLately = nowMillis - member.heardMillis() < mSettings.probeTimeoutMillis();
        if (member.dead() || heardLately || member.suspicion().isPresent()) {
            return;
        }
        boolean foreign = !from.domain().equals(mView.self().domain());
        if (foreign && member.relayDeathOnce()) {
            List<HostRecord> targets = mView.plan().relayTargets(mView.self());
            effects.addAll(mWriter.to(targets, List.of(member.record().withState(HostState.DEAD))));
        }
        mConfirmation.suspect(member, false, nowMillis, effects);
    }
}
