package org.cyclamenpaddle.fleet.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.core.message.Heartbeat;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.HostState;
import org.cyclamenpaddle.core.message.ProbeRequest;
import org.cyclamenpaddle.core.message.ProbeResponse;
import org.cyclamenpaddle.fleet.membership.MembershipEffect.HostChanged;
import org.cyclamenpaddle.fleet.membership.MembershipEffect.ProbeByNewConnection;
import org.cyclamenpaddle.fleet.membership.MembershipEffect.SendTo;

/**
 * One host's view of the entry hosts.
 *
 * <p>A host is called dead only after silence, and after this host's own new connection to it
 * failed while no other host asked could reach it. What others say of a death is a reason to try,
 * not a verdict, so a wrong verdict does not spread. A sign of life from the host itself always
 * revives it. Hosts cut off by a partition are dead on either side, and are tried until they answer
 * again.
 *
 * <p>Not thread-safe. Every event returns the effects to carry out, in order.
 */
public final class Membership {

    private final MembershipSettings mSettings;
    private final UniformRandomProvider mRandom;
    private final MemberView mView;
    private final HeartbeatWriter mWriter;
    private final Confirmation mConfirmation;
    private final GossipReader mGossip;
    private final Map<HostId, HostRecord> mHints = new LinkedHashMap<>();
    private final Map<HostId, PeerDigest> mDigests = new TreeMap<>();
    private final Map<Incarnation, Set<HostRecord>> mAskers = new HashMap<>();
    private Optional<Long> mNextHeartbeatMillis = Optional.empty();
    private Optional<Long> mNextRetryMillis = Optional.empty();
    private Optional<Long> mLastTickMillis = Optional.empty();

    /**
     * Creates the view of a host that knows only itself.
     *
     * @param self this host's record, alive
     * @param settings timings and sizes
     * @param source what heartbeats tell besides
     * @param random chooses gossip partners and helpers
     */
    public Membership(
            HostRecord self,
            MembershipSettings settings,
            HeartbeatSource source,
            UniformRandomProvider random) {
        mSettings = settings;
        mRandom = random;
        mView = new MemberView(self, settings);
        mWriter = new HeartbeatWriter(mView, settings, source, random);
        mConfirmation = new Confirmation(mView, settings, mWriter, random);
        mGossip = new GossipReader(mView, settings, mWriter, mConfirmation);
    }

    /**
     * Sends what is due and judges silence; to be called every {@link
     * MembershipSettings#tickMillis}.
     *
     * @param nowMillis reading of this host's clock
     */
    public List<MembershipEffect> tick(long nowMillis) {
        List<MembershipEffect> effects = new ArrayList<>();
        noticeOwnPause(nowMillis);
        mLastTickMillis = Optional.of(nowMillis);
        if (due(mNextHeartbeatMillis, nowMillis)) {
            mNextHeartbeatMillis = Optional.of(nowMillis + mSettings.heartbeatMillis());
            effects.addAll(mWriter.regular(nowMillis));
        }
        mConfirmation.suspectSilent(nowMillis, effects);
        mConfirmation.judgeAll(nowMillis, effects);
        if (due(mNextRetryMillis, nowMillis)) {
            mNextRetryMillis = Optional.of(nowMillis + mSettings.retryMillis());
            retryLost(effects);
            forgetDead(nowMillis);
        }
        return effects;
    }

    /** Takes a heartbeat in. */
    public List<MembershipEffect> onHeartbeat(Heartbeat heartbeat, long nowMillis) {
        List<MembershipEffect> effects = new ArrayList<>();
        noticeOwnPause(nowMillis);
        HostRecord sender = heartbeat.sender();
        if (mView.isSelf(sender)) {
            mGossip.readOwn(sender, sender, effects);
            return effects;
        }
        Optional<HostRecord> successor = successor(sender);
        if (successor.isPresent()) {
            // The old process may only have been paused, with calls in hand; it learns from this
            // answer that its successor runs.
            effects.addAll(mWriter.to(List.of(sender), List.of(successor.get())));
            return effects;
        }
        Member member =
                mView.table()
                        .member(sender.incarnation())
                        .orElseGet(() -> join(sender, nowMillis, effects));
        if (member.acceptSequence(heartbeat.sequence())) {
            heard(member, heartbeat, nowMillis, effects);
        }
        return effects;
    }

    /**
     * Takes in that another host wants a new connection tried.
     *
     * @param asker who gets the {@link ProbeResponse}
     */
    public List<MembershipEffect> onProbeRequest(
            HostRecord asker, ProbeRequest ask, long nowMillis) {
        mAskers.computeIfAbsent(ask.target().incarnation(), t -> new LinkedHashSet<>()).add(asker);
        return List.of(new ProbeByNewConnection(ask.target()));
    }

    /** Takes in what a host that was asked found out. */
    public List<MembershipEffect> onProbeResponse(ProbeResponse answer, long nowMillis) {
        List<MembershipEffect> effects = new ArrayList<>();
        noticeOwnPause(nowMillis);
        mView.table()
                .member(answer.target())
                .ifPresent(m -> mConfirmation.answer(m, answer.reachable(), nowMillis, effects));
        return effects;
    }

    /**
     * Takes in the result of this host's own new connection.
     *
     * @param target the incarnation that was tried
     * @param reachable whether that incarnation answered
     */
    public List<MembershipEffect> onConnectionProbe(
            Incarnation target, boolean reachable, long nowMillis) {
        List<MembershipEffect> effects = new ArrayList<>();
        noticeOwnPause(nowMillis);
        Optional.ofNullable(mAskers.remove(target)).orElse(Set.of()).stream()
                .map(asker -> new SendTo(asker, new ProbeResponse(target, reachable)))
                .forEach(effects::add);
        mView.table()
                .member(target)
                .ifPresent(m -> mConfirmation.ownResult(m, reachable, nowMillis, effects));
        return effects;
    }

    /**
     * Takes in that the usual connection to a host broke; a killed process shows this way at once.
     *
     * @param peer the incarnation at its other end
     */
    public List<MembershipEffect> onConnectionLost(Incarnation peer, long nowMillis) {
        List<MembershipEffect> effects = new ArrayList<>();
        mView.table()
                .member(peer)
                .filter(member -> !member.dead() && member.suspicion().isEmpty())
                .ifPresent(m -> mConfirmation.suspect(m, true, nowMillis, effects));
        return effects;
    }

    /**
     * Takes in the platform's lagging host list, or the peers named in the settings.
     *
     * <p>A hint says only whom to greet: a host joins the view when it answers, with its own word
     * for its incarnation.
     *
     * @param hint the whole list
     */
    public List<MembershipEffect> onHostList(List<HostRecord> hint, long nowMillis) {
        mHints.clear();
        hint.stream()
                .filter(record -> !mView.isSelf(record))
                .filter(record -> record.state() == HostState.ALIVE)
                .forEach(record -> mHints.put(MemberView.id(record), record));
        List<MembershipEffect> effects = new ArrayList<>();
        greetHinted(effects);
        return effects;
    }

    /** Starts this host's planned stop: it owns nothing from now on, and tells all hosts. */
    public List<MembershipEffect> onLeaving() {
        mView.leave();
        List<MembershipEffect> effects = new ArrayList<>();
        effects.add(new HostChanged(mView.self()));
        effects.addAll(mWriter.to(mView.table().records(member -> !member.dead()), List.of()));
        return effects;
    }

    /** Returns this host's own record. */
    public HostRecord self() {
        return mView.self();
    }

    /** Returns all hosts known, with this one, in whatever state. */
    public List<HostRecord> hosts() {
        return mView.hosts();
    }

    /**
     * Returns the hosts that may own ledgers and get messages, with this one.
     *
     * <p>A suspect stays among them until it is confirmed dead or unreachable from here, as most
     * suspects are alive and moving a ledger to and fro costs grants.
     */
    public List<HostRecord> alive() {
        return mView.alive();
    }

    /** Returns the hosts of one failure domain that are {@link #alive()}. */
    public List<HostRecord> aliveIn(FailureDomain domain) {
        return alive().stream()
                .filter(host -> host.domain().equals(domain))
                .collect(Collectors.toList());
    }

    /** Returns what is known of a host. */
    public Optional<HostRecord> record(HostId host) {
        return mView.record(host);
    }

    /** Returns what is known of one life of a host, for those who act on the end of a life. */
    public IncarnationStatus incarnationStatus(Incarnation incarnation) {
        return record(incarnation.host())
                .map(record -> IncarnationStatus.of(record, incarnation))
                .orElse(IncarnationStatus.UNKNOWN);
    }

    /**
     * Returns whether some host died, was restarted or fell silent within a span of time, so that
     * what it knew may be lost. Ends from before this host's own start are not known to it.
     *
     * @param spanMillis the span that ends now
     */
    public boolean hostLostWithin(long spanMillis, long nowMillis) {
        return mView.lostSince(nowMillis - spanMillis);
    }

    /** Returns what the latest heartbeats of living hosts heard directly said of their replicas. */
    public Map<HostId, PeerDigest> peerDigests() {
        return Map.copyOf(mDigests);
    }

    /**
     * Looks for a gap since the last tick before any event is judged: after a pause of this process
     * the expired timers of its probes may run before its next tick.
     */
    private void noticeOwnPause(long nowMillis) {
        long gap = mLastTickMillis.map(last -> nowMillis - last).orElse(0L);
        if (mConfirmation.forgiveOwnPause(gap, nowMillis)) {
            mLastTickMillis = Optional.of(nowMillis);
        }
    }

    private static boolean due(Optional<Long> atMillis, long nowMillis) {
        return atMillis.isEmpty() || nowMillis >= atMillis.get();
    }

    private Optional<HostRecord> successor(HostRecord sender) {
        return mView.table()
                .member(MemberView.id(sender))
                .map(Member::record)
                .filter(known -> known.incarnation().supersedes(sender.incarnation()));
    }

    private Member join(HostRecord sender, long nowMillis, List<MembershipEffect> effects) {
        Member member = mView.add(sender, nowMillis, effects);
        effects.add(mWriter.introduction(sender));
        return member;
    }

    private void heard(
            Member member, Heartbeat heartbeat, long nowMillis, List<MembershipEffect> effects) {
        HostRecord sender = heartbeat.sender();
        if (sender.state() == HostState.LEAVING && member.leave(nowMillis)) {
            mView.changed(member, effects);
        }
        mConfirmation.heard(member, nowMillis, effects);
        mDigests.put(
                MemberView.id(sender),
                new PeerDigest(
                        heartbeat.configurationDigest(), heartbeat.inForceVersion(), nowMillis));
        heartbeat.hosts().forEach(said -> mGossip.read(said, sender, nowMillis, effects));
    }

    private void retryLost(List<MembershipEffect> effects) {
        List<HostRecord> lost =
                mView.table().inTurn(1, member -> member.dead() || member.unreachableHere());
        effects.addAll(mWriter.to(lost, lost));
        greetHinted(effects);
    }

    private void greetHinted(List<MembershipEffect> effects) {
        List<HostRecord> unmet =
                mHints.values().stream()
                        .filter(hint -> mView.record(MemberView.id(hint)).isEmpty())
                        .collect(Collectors.toList());
        if (!unmet.isEmpty()) {
            HostRecord chosen = unmet.get(mRandom.nextInt(unmet.size()));
            effects.addAll(mWriter.to(List.of(chosen), List.of()));
        }
    }

    private void forgetDead(long nowMillis) {
        MemberTable table = mView.table();
        table.removeIf(
                member ->
                        member.dead()
                                && nowMillis - member.changedMillis()
                                        >= mSettings.deadHostRetentionMillis());
        mDigests.keySet().removeIf(host -> table.member(host).filter(m -> !m.dead()).isEmpty());
    }
}
