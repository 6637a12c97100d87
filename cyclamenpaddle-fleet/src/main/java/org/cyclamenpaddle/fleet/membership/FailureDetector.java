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

/** Detects silent hosts, and confirms or refutes their failure by probes. */
final class FailureDetector {

    private static final int PAUSE_THRESHOLD_TICKS = 4;
    private static final int PROBED_NEIGHBOURS = 2;

    private final MemberView mView;
    private final MembershipSettings mSettings;
    private final HeartbeatWriter mWriter;
    private final UniformRandomProvider mRandom;

    FailureDetector(
            MemberView view,
            MembershipSettings settings,
            HeartbeatWriter writer,
            UniformRandomProvider random) {
        mView = view;
        mSettings = settings;
        mWriter = writer;
        mRandom = random;
    }

    /**
     * Compensates for a pause of this process; returns whether the time since the last tick shows
     * one.
     */
    boolean compensateOwnPause(long gapMillis, long nowMillis) {
        boolean paused = gapMillis > PAUSE_THRESHOLD_TICKS * mSettings.tickMillis();
        if (paused) {
            // After a pause of this process all other hosts look silent and its probes look failed.
            // Without compensation it would declare every host dead on resuming. The pause is not
            // counted as silence, and confirmation rounds restart.
            long retry =
                    nowMillis - mSettings.suspectAfterMillis() + mSettings.probeTimeoutMillis();
            mView.table().members().forEach(member -> member.compensatePause(gapMillis, retry));
        }
        return paused;
    }

    /** Suspects silent hosts that this host watches. */
    void suspectSilent(long nowMillis, List<MembershipEffect> effects) {
        List<Member> silent =
                mView.table().members().stream()
                        .filter(member -> !member.dead() && member.suspicion().isEmpty())
                        .filter(m -> nowMillis - m.heardMillis() >= mSettings.suspectAfterMillis())
                        .filter(m -> m.state() == HostState.SUSPECT || mView.watches(m))
                        .filter(
                                member ->
                                        !member.unreachableLocally() || retryDue(member, nowMillis))
                        .collect(Collectors.toList());
        silent.forEach(member -> suspect(member, true, nowMillis, effects));
    }

    /** Evaluates all suspects. */
    void evaluateAll(long nowMillis, List<MembershipEffect> effects) {
        List<Member> suspects =
                mView.table().members().stream()
                        .filter(member -> member.suspicion().isPresent())
                        .collect(Collectors.toList());
        suspects.forEach(member -> evaluate(member, nowMillis, effects));
    }

    /**
     * Starts a round of confirmation.
     *
     * @param detectedLocally whether this host itself detected the silence; otherwise it sends no
     *     indirect probes, as the host that reported the death has already done so
     */
    void suspect(
            Member member,
            boolean detectedLocally,
            long nowMillis,
            List<MembershipEffect> effects) {
        List<HostRecord> proxies = detectedLocally ? chooseProxies(member) : List.of();
        long deadline = nowMillis + mSettings.probeTimeoutMillis();
        if (member.suspect(new Suspicion(deadline, proxies.size(), detectedLocally), nowMillis)) {
            mView.reportChange(member, effects);
        }
        effects.add(new ProbeByNewConnection(member.record()));
        ProbeRequest request = new ProbeRequest(member.record());
        proxies.forEach(proxy -> effects.add(new SendTo(proxy, request)));
    }

    /** Processes the result of an indirect probe. */
    void onIndirectProbeResult(
            Member member, boolean reachable, long nowMillis, List<MembershipEffect> effects) {
        member.suspicion().ifPresent(suspicion -> suspicion.onIndirectProbeResult(reachable));
        evaluate(member, nowMillis, effects);
    }

    /** Processes the result of this host's direct probe. */
    void onDirectProbeResult(
            Member member, boolean reachable, long nowMillis, List<MembershipEffect> effects) {
        if (reachable) {
            onAlive(member, nowMillis, effects);
        } else {
            member.suspicion().ifPresent(suspicion -> suspicion.onDirectProbeResult(false));
            evaluate(member, nowMillis, effects);
        }
    }

    /**
     * Processes proof that a host is alive; a host that was considered dead receives the complete
     * view.
     */
    void onAlive(Member member, long nowMillis, List<MembershipEffect> effects) {
        boolean wasDead = member.dead();
        if (member.markAlive(nowMillis)) {
            mView.reportChange(member, effects);
        }
        if (wasDead) {
            mView.invalidatePlan();
            effects.add(mWriter.completeView(member.record()));
        }
    }

    /** Probes a dead host unless it was probed recently. */
    void probeDead(Member member, long nowMillis, List<MembershipEffect> effects) {
        if (member.dead() && retryDue(member, nowMillis)) {
            member.markProbed(nowMillis);
            effects.add(new ProbeByNewConnection(member.record()));
        }
    }

    private void evaluate(Member member, long nowMillis, List<MembershipEffect> effects) {
        if (member.suspicion().isEmpty()) {
            return;
        }
        Suspicion suspicion = member.suspicion().get();
        if (suspicion.overdue(nowMillis, mSettings.retryMillis())) {
            suspect(member, suspicion.detectedLocally(), nowMillis, effects);
        } else if (suspicion.concluded(nowMillis)) {
            conclude(member, suspicion, nowMillis, effects);
        }
    }

    private void conclude(
            Member member, Suspicion suspicion, long nowMillis, List<MembershipEffect> effects) {
        if (suspicion.reachedByProxy()) {
            // Only the path from this host is broken. Declaring the host dead would cancel streams
            // that it still serves; this host merely stops using it.
            member.markUnreachable(nowMillis);
            mView.reportChange(member, effects);
            return;
        }
        member.markDead(nowMillis);
        mView.invalidatePlan();
        mView.reportChange(member, effects);
        if (suspicion.detectedLocally()) {
            List<HostRecord> targets = mView.plan().deathNoticeTargets(mView.self());
            effects.addAll(mWriter.heartbeats(targets, List.of(member.record())));
            suspectNeighbours(member, nowMillis, effects);
        }
    }

    /**
     * Probes a few more hosts of a dead host's domain.
     *
     * <p>A rack, a domain or the path to it fails as a unit, and most of its hosts are watched from
     * inside it. Without these probes, one side of a partition would consider them alive until its
     * watch plan has covered each of them. Each confirmed death triggers further probes; a host
     * that proves alive does not.
     */
    private void suspectNeighbours(Member dead, long nowMillis, List<MembershipEffect> effects) {
        List<Member> silent =
                mView.table().members().stream()
                        .filter(m -> m.record().domain().equals(dead.record().domain()))
                        .filter(m -> !m.dead() && m.suspicion().isEmpty())
                        .filter(m -> nowMillis - m.heardMillis() >= mSettings.suspectAfterMillis())
                        .collect(Collectors.toList());
        for (int i = 0; i < PROBED_NEIGHBOURS && !silent.isEmpty(); i++) {
            Member next = silent.remove(mRandom.nextInt(silent.size()));
            suspect(next, true, nowMillis, effects);
        }
    }

    private List<HostRecord> chooseProxies(Member suspect) {
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
