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
 * State machine of membership: one host's view of the entry hosts.
 *
 * <p>A host is declared dead only after silence, and after this host's direct probe failed while no
 * requested host could reach it either. A death reported by another host only triggers a probe, so
 * a false report does not spread. A message from the host itself always revives it. Hosts separated
 * by a partition are dead on either side, and are probed until they respond again.
 *
 * <p>Not thread-safe. Every event returns the effects to perform, in order.
 */
public final class Membership {

    private final MembershipSettings mSettings;
    private final UniformRandomProvider mRandom;
    private final MemberView mView;
    private final HeartbeatWriter mWriter;
    private final FailureDetector mFailureDetector;
    private final GossipReader mGossip;
    private final Map<HostId, HostRecord> mHostHints = new LinkedHashMap<>();
    private final Map<HostId, PeerDigest> mDigests = new TreeMap<>();
    private final Map<Incarnation, Set<HostRecord>> mProbeRequesters = new HashMap<>();
    private Optional<Long> mNextHeartbeatMillis = Optional.empty();
    private Optional<Long> mNextRetryMillis = Optional.empty();
    private Optional<Long> mLastTickMillis = Optional.empty();

    /**
     * Creates the view of a host that knows only itself.
     *
     * @param self this host's record, alive
     * @param settings timings and sizes
     * @param source further contents of heartbeats
     * @param random random source for choosing gossip partners and hosts for indirect probes
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
        mFailureDetector = new FailureDetector(mView, settings, mWriter, random);
        mGossip = new GossipReader(mView, settings, mWriter, mFailureDetector);
    }

    /**
     * Sends due heartbeats and evaluates silent hosts; must be called every {@link
     * MembershipSettings#tickMillis}.
     *
     * @param nowMillis reading of this host's clock
     */
    public List<MembershipEffect> tick(long nowMillis) {
        List<MembershipEffect> effects = new ArrayList<>();
        detectOwnPause(nowMillis);
        mLastTickMillis = Optional.of(nowMillis);
        if (due(mNextHeartbeatMillis, nowMillis)) {
            mNextHeartbeatMillis = Optional.of(nowMillis + mSettings.heartbeatMillis());
            effects.addAll(mWriter.periodic(nowMillis));
        }
        mFailureDetector.suspectSilent(nowMillis, effects);
        mFailureDetector.evaluateAll(nowMillis, effects);
        if (due(mNextRetryMillis, nowMillis)) {
            mNextRetryMillis = Optional.of(nowMillis + mSettings.retryMillis());
            contactUnreachable(effects);
            removeDead(nowMillis);
        }
        return effects;
    }

    /** Processes a heartbeat. */
    public List<MembershipEffect> onHeartbeat(Heartbeat heartbeat, long nowMillis) {
        List<MembershipEffect> effects = new ArrayList<>();
        detectOwnPause(nowMillis);
        HostRecord sender = heartbeat.sender();
        if (mView.isSelf(sender)) {
            mGossip.readSelf(sender, sender, effects);
            return effects;
        }
        Optional<HostRecord> successor = successor(sender);
        if (successor.isPresent()) {
            // The old process may only have been paused with calls in flight; this response informs
            // it that its successor is running.
            effects.addAll(mWriter.heartbeats(List.of(sender), List.of(successor.get())));
            return effects;
        }
        Member member =
                mView.table()
                        .member(sender.incarnation())
                        .orElseGet(() -> join(sender, nowMillis, effects));
        if (member.acceptSequence(heartbeat.sequence())) {
            applyHeartbeat(member, heartbeat, nowMillis, effects);
        }
        return effects;
    }

    /**
     * Processes a request for an indirect probe.
     *
     * @param requester the host that receives the {@link ProbeResponse}
     */
    public List<MembershipEffect> onProbeRequest(
            HostRecord requester, ProbeRequest request, long nowMillis) {
        mProbeRequesters
                .computeIfAbsent(request.target().incarnation(), t -> new LinkedHashSet<>())
                .add(requester);
        return List.of(new ProbeByNewConnection(request.target()));
    }

    /** Processes the result of an indirect probe. */
    public List<MembershipEffect> onProbeResponse(ProbeResponse response, long nowMillis) {
        List<MembershipEffect> effects = new ArrayList<>();
        detectOwnPause(nowMillis);
        mView.table()
                .member(response.target())
                .ifPresent(
                        m ->
                                mFailureDetector.onIndirectProbeResult(
                                        m, response.reachable(), nowMillis, effects));
        return effects;
    }

    /**
     * Processes the result of this host's direct probe.
     *
     * @param target the incarnation that was probed
     * @param reachable whether that incarnation responded
     */
    public List<MembershipEffect> onConnectionProbe(
            Incarnation target, boolean reachable, long nowMillis) {
        List<MembershipEffect> effects = new ArrayList<>();
        detectOwnPause(nowMillis);
        Optional.ofNullable(mProbeRequesters.remove(target)).orElse(Set.of()).stream()
                .map(requester -> new SendTo(requester, new ProbeResponse(target, reachable)))
                .forEach(effects::add);
        mView.table()
                .member(target)
                .ifPresent(
                        m ->
                                mFailureDetector.onDirectProbeResult(
                                        m, reachable, nowMillis, effects));
        return effects;
    }

    /**
     * Processes the loss of the existing connection to a host; a killed process is detected this
     * way immediately.
     *
     * @param peer the incarnation at the other end
     */
    public List<MembershipEffect> onConnectionLost(Incarnation peer, long nowMillis) {
        List<MembershipEffect> effects = new ArrayList<>();
        mView.table()
                .member(peer)
                .filter(member -> !member.dead() && member.suspicion().isEmpty())
                .ifPresent(m -> mFailureDetector.suspect(m, true, nowMillis, effects));
        return effects;
    }

    /**
     * Processes the platform's host list, which may lag, or the peers named in the settings.
     *
     * <p>A hint only names hosts to contact: a host joins the view when it responds, with the
     * incarnation that it reports itself.
     *
     * @param hint the complete list
     */
    public List<MembershipEffect> onHostList(List<HostRecord> hint, long nowMillis) {
        mHostHints.clear();
        hint.stream()
                .filter(record -> !mView.isSelf(record))
                .filter(record -> record.state() == HostState.ALIVE)
                .forEach(record -> mHostHints.put(MemberView.id(record), record));
        List<MembershipEffect> effects = new ArrayList<>();
        contactHinted(effects);
        return effects;
    }

    /** Starts this host's planned stop: it no longer owns ledgers, and notifies all hosts. */
    public List<MembershipEffect> onLeaving() {
        mView.markLeaving();
        List<MembershipEffect> effects = new ArrayList<>();
        effects.add(new HostChanged(mView.self()));
        effects.addAll(
                mWriter.heartbeats(mView.table().records(member -> !member.dead()), List.of()));
        return effects;
    }

    /** Returns this host's own record. */
    public HostRecord self() {
        return mView.self();
    }

    /** Returns all known hosts in any state, including this one. */
    public List<HostRecord> hosts() {
        return mView.hosts();
    }

    /**
     * Returns the hosts that may own ledgers and receive messages, including this one.
     *
     * <p>A suspect is included until it is confirmed dead or unreachable from this host, as most
     * suspects are alive and moving a ledger back and forth costs grants.
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

    /** Returns the record of a host. */
    public Optional<HostRecord> record(HostId host) {
        return mView.record(host);
    }

    /** Returns the status of one incarnation of a host. */
    public IncarnationStatus incarnationStatus(Incarnation incarnation) {
        return record(incarnation.host())
                .map(record -> IncarnationStatus.of(record, incarnation))
                .orElse(IncarnationStatus.UNKNOWN);
    }

    /**
     * Returns whether a host failed, restarted or went silent within a time span, so that its
     * records may be lost. Losses from before this host's own start are not known to it.
     *
     * @param spanMillis length of the span that ends now, in milliseconds
     */
    public boolean hostLostWithin(long spanMillis, long nowMillis) {
        return mView.hostLostSince(nowMillis - spanMillis);
    }

    /**
     * Returns the replica digests from the latest heartbeats that this host received from live
     * hosts.
     */
    public Map<HostId, PeerDigest> peerDigests() {
        return Map.copyOf(mDigests);
    }

    /**
     * Checks for a gap since the last tick before any event is evaluated: after a pause of this
     * process, expired probe timers may run before its next tick.
     */
    private void detectOwnPause(long nowMillis) {
        long gap = mLastTickMillis.map(last -> nowMillis - last).orElse(0L);
        if (mFailureDetector.compensateOwnPause(gap, nowMillis)) {
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
        effects.add(mWriter.completeView(sender));
        return member;
    }

    private void applyHeartbeat(
            Member member, Heartbeat heartbeat, long nowMillis, List<MembershipEffect> effects) {
        HostRecord sender = heartbeat.sender();
        if (sender.state() == HostState.LEAVING && member.markLeaving(nowMillis)) {
            mView.reportChange(member, effects);
        }
        mFailureDetector.onAlive(member, nowMillis, effects);
        mDigests.put(
                MemberView.id(sender),
                new PeerDigest(
                        heartbeat.configurationDigest(), heartbeat.inForceVersion(), nowMillis));
        heartbeat.hosts().forEach(reported -> mGossip.read(reported, sender, nowMillis, effects));
    }

    private void contactUnreachable(List<MembershipEffect> effects) {
        List<HostRecord> unreachable =
                mView.table()
                        .nextInRotation(1, member -> member.dead() || member.unreachableLocally());
        effects.addAll(mWriter.heartbeats(unreachable, unreachable));
        contactHinted(effects);
    }

    private void contactHinted(List<MembershipEffect> effects) {
        List<HostRecord> unknown =
                mHostHints.values().stream()
                        .filter(hint -> mView.record(MemberView.id(hint)).isEmpty())
                        .collect(Collectors.toList());
        if (!unknown.isEmpty()) {
            HostRecord chosen = unknown.get(mRandom.nextInt(unknown.size()));
            effects.addAll(mWriter.heartbeats(List.of(chosen), List.of()));
        }
    }

    private void removeDead(long nowMillis) {
        MemberTable table = mView.table();
        table.removeIf(
                member ->
                        member.dead()
                                && nowMillis - member.changedMillis()
                                        >= mSettings.deadHostRetentionMillis());
        mDigests.keySet().removeIf(host -> table.member(host).filter(m -> !m.dead()).isEmpty());
    }
}
