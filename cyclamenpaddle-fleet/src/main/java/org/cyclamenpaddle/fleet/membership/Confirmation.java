package org.cyclamenpaddle.fleet.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.HostState;
import org.cyclamenpaddle.core.message.ProbeRequest;
import org.cyclamenpaddle.fleet.membership.MembershipEffect.ProbeByNewConnection;
import org.cyclamenpaddle.fleet.membership.MembershipEffect.SendTo;

/** Turns silence into a confirmed death, or into a sign of life. */
final class Confirmation {

    private static final int PAUSE_TICKS = 4;
    private static final int NEIGHBOURS = 2;

    private final MemberView mView;
    private final MembershipSettings mSettings;
    private final HeartbeatWriter mWriter;
    private final UniformRandomProvider mRandom;

    Confirmation(
            MemberView view,
            MembershipSettings settings,
            HeartbeatWriter writer,
            UniformRandomProvider random) {
        mView = view;
        mSettings = settings;
        mWriter = writer;
        mRandom = random;
    }

    /** Takes in the time since the last tick; returns whether it shows a pause of this process. */
    boolean forgiveOwnPause(long gapMillis, long nowMillis) {
        boolean paused = gapMillis > PAUSE_TICKS * mSettings.tickMillis();
        if (paused) {
            // This process was paused, so all others look silent and its probes look failed.
            // Without this it would call every host dead at once on waking up. What it missed is
            // not held against them, and rounds of confirmation start afresh.
            long retry =
                    nowMillis - mSettings.suspectAfterMillis() + mSettings.probeTimeoutMillis();
            mView.table().members().forEach(member -> member.forgive(gapMillis, retry));
        }
        return paused;
    }

    /** Suspects the hosts that this one watches and that are silent. */
    void suspectSilent(long nowMillis, List<MembershipEffect> effects) {
        List<Member> silent =
                mView.table().members().stream()
                        .filter(member -> !member.dead() && member.suspicion().isEmpty())
                        .filter(m -> nowMillis - m.heardMillis() >= mSettings.suspectAfterMillis())
                        .filter(m -> m.state() == HostState.SUSPECT || mView.watches(m))
                        .filter(member -> !member.unreachableHere() || retryDue(member, nowMillis))
                        .collect(Collectors.toList());
        silent.forEach(member -> suspect(member, true, nowMillis, effects));
    }

    /** Judges all suspects. */
    void judgeAll(long nowMillis, List<MembershipEffect> effects) {
        List<Member> suspects =
                mView.table().members().stream()
                        .filter(member -> member.suspicion().isPresent())
                        .collect(Collectors.toList());
        suspects.forEach(member -> judge(member, nowMillis, effects));
    }

    /**
     * Starts a round of confirmation.
     *
     * @param firstHand whether this host itself noticed the silence; else only its own connection
     *     is tried, as whoever told of the death has asked others already
     */
    void suspect(Member member, boolean firstHand, long nowMillis, List<MembershipEffect> effects) {
        List<HostRecord> helpers = firstHand ? helpers(member) : List.of();
        long deadline = nowMillis + mSettings.probeTimeoutMillis();
        if (member.suspect(new Suspicion(deadline, helpers.size(), firstHand), nowMillis)) {
            mView.changed(member, effects);
        }
        effects.add(new ProbeByNewConnection(member.record()));
        ProbeRequest ask = new ProbeRequest(member.record());
        helpers.forEach(helper -> effects.add(new SendTo(helper, ask)));
    }

    /** Takes in what a host that was asked found out. */
    void answer(Member member, boolean reachable, long nowMillis, List<MembershipEffect> effects) {
        member.suspicion().ifPresent(suspicion -> suspicion.answer(reachable));
        judge(member, nowMillis, effects);
    }

    /** Takes in the result of this host's own new connection. */
    void ownResult(
            Member member, boolean reachable, long nowMillis, List<MembershipEffect> effects) {
        if (reachable) {
            heard(member, nowMillis, effects);
        } else {
            member.suspicion().ifPresent(suspicion -> suspicion.ownResult(false));
            judge(member, nowMillis, effects);
        }
    }

    /** Takes in a sign of life; a host that was dead is told what it missed. */
    void heard(Member member, long nowMillis, List<MembershipEffect> effects) {
        boolean wasDead = member.dead();
        if (member.heard(nowMillis)) {
            mView.changed(member, effects);
        }
        if (wasDead) {
            mView.replan();
            effects.add(mWriter.introduction(member.record()));
        }
    }

    /** Tries to reach a dead host unless that was done lately. */
    void retryDead(Member member, long nowMillis, List<MembershipEffect> effects) {
        if (member.dead() && retryDue(member, nowMillis)) {
            member.probed(nowMillis);
            effects.add(new ProbeByNewConnection(member.record()));
        }
    }

    private void judge(Member member, long nowMillis, List<MembershipEffect> effects) {
        if (member.suspicion().isEmpty()) {
            return;
        }
        Suspicion suspicion = member.suspicion().get();
        if (suspicion.overdue(nowMillis, mSettings.retryMillis())) {
            suspect(member, suspicion.firstHand(), nowMillis, effects);
        } else if (suspicion.settled(nowMillis)) {
            settle(member, suspicion, nowMillis, effects);
        }
    }

    private void settle(
            Member member, Suspicion suspicion, long nowMillis, List<MembershipEffect> effects) {
        if (suspicion.reachedByOthers()) {
            // Only the way from here to the host is broken. Calling it dead would cancel streams
            // that it serves well; not using it from here is enough.
            member.unreachable(nowMillis);
            mView.changed(member, effects);
            return;
        }
        member.die(nowMillis);
        mView.replan();
        mView.changed(member, effects);
        if (suspicion.firstHand()) {
            List<HostRecord> targets = mView.plan().newsTargets(mView.self());
            effects.addAll(mWriter.to(targets, List.of(member.record())));
            suspectNeighbours(member, nowMillis, effects);
        }
    }

    /**
     * Tries a few more hosts of a dead host's domain.
     *
     * <p>A rack, a domain or the way to it fails as a whole, and most of its hosts are watched from
     * inside it. Without this a side of a partition would keep them as alive until its watch plan
     * has come round to each. Every death so found leads to more, every sign of life ends it.
     */
    private void suspectNeighbours(Member dead, long nowMillis, List<MembershipEffect> effects) {
        List<Member> silent =
                mView.table().members().stream()
                        .filter(m -> m.record().domain().equals(dead.record().domain()))
                        .filter(m -> !m.dead() && m.suspicion().isEmpty())
                        .filter(m -> nowMillis - m.heardMillis() >= mSettings.suspectAfterMillis())
                        .collect(Collectors.toList());
        for (int i = 0; i < NEIGHBOURS && !silent.isEmpty(); i++) {
            Member next = silent.remove(mRandom.nextInt(silent.size()));
            suspect(next, true, nowMillis, effects);
        }
    }

    private List<HostRecord> helpers(Member suspect) {
        List<HostRecord> candidates =
                mView.table().records(m -> m.state() == HostState.ALIVE && m != suspect);
        List<HostRecord> chosen = new ArrayList<>();
        while (chosen.size() < mSettings.indirectProbes() && !candidates.isEmpty()) {
            chosen.add(candidates.remove(mRandom.nextInt(candidates.size())));
        }
        return chosen;
    }

    private boolean retryDue(Member member, long nowMillis) {
        return nowMillis - member.probedMillis() >= mSettings.retryMillis();
    }
}
