package org.cyclamenpaddle.fleet.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.core.message.Heartbeat;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.HostState;
import org.cyclamenpaddle.core.message.ProbeAnswer;
import org.cyclamenpaddle.core.message.ProbeAsk;
import org.cyclamenpaddle.fleet.membership.MembershipEffect.HostChanged;
import org.cyclamenpaddle.fleet.membership.MembershipEffect.ProbeByNewConnection;
import org.cyclamenpaddle.fleet.membership.MembershipEffect.SendTo;
import org.cyclamenpaddle.fleet.membership.MembershipEffect.Superseded;

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

    private static final int PAUSE_TICKS = 4;

    private final MembershipSettings mSettings;
    private final HeartbeatSource mSource;
    private final UniformRandomProvider mRandom;
    private final MemberTable mTable = new MemberTable();
    private final Map<HostId, HostRecord> mHints = new LinkedHashMap<>();
    private final Map<HostId, PeerDigest> mDigests = new TreeMap<>();
    private final Map<Incarnation, Set<HostRecord>> mAskers = new HashMap<>();
    private HostRecord mSelf;
    private long mSequence;
    private long mNextHeartbeatMillis = Long.MIN_VALUE;
    private long mNextRetryMillis = Long.MIN_VALUE;
    private Optional<Long> mLastTickMillis = Optional.empty();
    private Optional<WatchPlan> mPlan = Optional.empty();
    private Set<HostId> mWatched = Set.of();

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
        mSelf = self;
        mSettings = settings;
        mSource = source;
        mRandom = random;
    }

    /**
     * Sends what is due and judges silence; to be called every {@link
     * MembershipSettings#tickMillis}.
     *
     * @param nowMillis reading of this host's clock
     */
    public List<MembershipEffect> tick(long nowMillis) {
        List<MembershipEffect> effects = new ArrayList<>();
        forgiveOwnPause(nowMillis);
        if (nowMillis >= mNextHeartbeatMillis) {
            mNextHeartbeatMillis = nowMillis + mSettings.heartbeatMillis();
            sendHeartbeats(nowMillis, effects);
        }
        suspectSilent(nowMillis, effects);
        judgeSuspects(nowMillis, effects);
        if (nowMillis >= mNextRetryMillis) {
            mNextRetryMillis = nowMillis + mSettings.retryMillis();
            retryLost(nowMillis, effects);
        }
        forgetDead(nowMillis);
        return effects;
    }

    /** Takes a heartbeat in. */
    public List<MembershipEffect> onHeartbeat(Heartbeat heartbeat, long nowMillis) {
        List<MembershipEffect> effects = new ArrayList<>();
        HostRecord sender = heartbeat.sender();
        if (id(sender).equals(id(mSelf))) {
            onOwnName(sender, Optional.empty(), nowMillis, effects);
            return effects;
        }
        Optional<Member> known = mTable.member(id(sender));
        if (known.filter(m -> supersedes(m.record(), sender)).isPresent()) {
            // The old process may only be paused, with an entry host's work in hand; it learns
            // from this answer that its successor runs.
            effects.add(new SendTo(sender, heartbeat(List.of(known.get().record()))));
            return effects;
        }
        Member member =
                known.filter(m -> sameLife(m.record(), sender))
                        .orElseGet(() -> join(sender, nowMillis, effects));
        if (!member.acceptSequence(heartbeat.sequence())) {
            return effects;
        }
        boolean wasDead = member.dead();
        boolean left = sender.state() == HostState.LEAVING && member.leave(nowMillis);
        if (member.heard(nowMillis) | left) {
            changed(member, effects);
        }
        if (wasDead) {
            introduce(member.record(), effects);
        }
        mDigests.put(
                id(sender),
                new PeerDigest(
                        heartbeat.configurationDigest(), heartbeat.inForceVersion(), nowMillis));
        heartbeat.hosts().forEach(record -> hearsay(record, sender, nowMillis, effects));
        return effects;
    }

    /**
     * Takes in that another host wants a new connection tried.
     *
     * @param asker who gets the {@link ProbeAnswer}
     */
    public List<MembershipEffect> onProbeAsk(HostRecord asker, ProbeAsk ask, long nowMillis) {
        mAskers.computeIfAbsent(ask.target().incarnation(), t -> new HashSet<>()).add(asker);
        return List.of(new ProbeByNewConnection(ask.target()));
    }

    /** Takes in what a host that was asked found out. */
    public List<MembershipEffect> onProbeAnswer(ProbeAnswer answer, long nowMillis) {
        List<MembershipEffect> effects = new ArrayList<>();
        mTable.member(answer.target())
                .ifPresent(
                        member -> {
                            member.suspicion().ifPresent(s -> s.answer(answer.reachable()));
                            judge(member, nowMillis, effects);
                        });
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
        Optional.ofNullable(mAskers.remove(target)).orElse(Set.of()).stream()
                .map(asker -> new SendTo(asker, new ProbeAnswer(target, reachable)))
                .forEach(effects::add);
        mTable.member(target).ifPresent(member -> ownResult(member, reachable, nowMillis, effects));
        return effects;
    }

    /**
     * Takes in that the usual connection to a host broke; a killed process shows this way at once.
     *
     * @param peer the incarnation at its other end
     */
    public List<MembershipEffect> onConnectionLost(Incarnation peer, long nowMillis) {
        List<MembershipEffect> effects = new ArrayList<>();
        mTable.member(peer)
                .filter(member -> !member.dead() && member.suspicion().isEmpty())
                .ifPresent(member -> suspect(member, true, nowMillis, effects));
        return effects;
    }

    /**
     * Takes in the platform's lagging host list, or the peers named in the settings.
     *
     * <p>A hint says only whom to greet: a host joins the view when it answers, with its own word
     * for its incarnation. A dead host that the list no longer names is forgotten.
     *
     * @param hint the whole list
     */
    public List<MembershipEffect> onHostList(List<HostRecord> hint, long nowMillis) {
        mHints.clear();
        hint.stream()
                .filter(record -> !id(record).equals(id(mSelf)))
                .filter(record -> record.state() == HostState.ALIVE)
                .forEach(record -> mHints.put(id(record), record));
        List<MembershipEffect> effects = new ArrayList<>();
        greetHinted(effects);
        return effects;
    }

    /** Starts this host's planned stop: it owns nothing from now on, and tells all hosts. */
    public List<MembershipEffect> onLeaving(long nowMillis) {
        mSelf = mSelf.in(HostState.LEAVING);
        viewChanged();
        List<MembershipEffect> effects = new ArrayList<>();
        effects.add(new HostChanged(mSelf));
        Heartbeat farewell = heartbeat(List.of());
        mTable.records(member -> !member.dead())
                .forEach(host -> effects.add(new SendTo(host, farewell)));
        return effects;
    }

    /** Returns this host's own record. */
    public HostRecord self() {
        return mSelf;
    }

    /** Returns all hosts known, with this one, in whatever state. */
    public List<HostRecord> hosts() {
        return Stream.concat(Stream.of(mSelf), mTable.records(member -> true).stream())
                .collect(Collectors.toList());
    }

    /**
     * Returns the hosts that may own ledgers and get messages, with this one.
     *
     * <p>A suspect stays among them until it is confirmed dead or unreachable from here, as most
     * suspects are alive and moving a ledger to and fro costs grants.
     */
    public List<HostRecord> alive() {
        Stream<HostRecord> self =
                mSelf.state() == HostState.ALIVE ? Stream.of(mSelf) : Stream.empty();
        return Stream.concat(self, mTable.records(Member::usable).stream())
                .collect(Collectors.toList());
    }

    /** Returns the hosts of one failure domain that are {@link #alive()}. */
    public List<HostRecord> aliveIn(FailureDomain domain) {
        return alive().stream()
                .filter(host -> host.domain().equals(domain))
                .collect(Collectors.toList());
    }

    /** Returns what is known of a host. */
    public Optional<HostRecord> record(HostId host) {
        return host.equals(id(mSelf))
                ? Optional.of(mSelf)
                : mTable.member(host).map(Member::record);
    }

    /** Returns what is known of one life of a host, for those who act on the end of a life. */
    public Standing standing(Incarnation incarnation) {
        return record(incarnation.host())
                .map(record -> Standing.of(record, incarnation))
                .orElse(Standing.UNKNOWN);
    }

    /** Returns what the latest heartbeats of hosts heard directly said of their replicas. */
    public Map<HostId, PeerDigest> peerDigests() {
        return Map.copyOf(mDigests);
    }

    private void forgiveOwnPause(long nowMillis) {
        long gap = mLastTickMillis.map(last -> nowMillis - last).orElse(0L);
        mLastTickMillis = Optional.of(nowMillis);
        if (gap > PAUSE_TICKS * mSettings.tickMillis()) {
            // This process was paused, so all others look silent and its probes look failed.
            // Without this it would call every host dead at once on waking up. What it missed is
            // not held against them, and rounds of confirmation start afresh.
            long retry =
                    nowMillis - mSettings.suspectAfterMillis() + mSettings.probeTimeoutMillis();
            mTable.members().forEach(member -> member.forgive(gap, retry));
        }
    }

    private void sendHeartbeats(long nowMillis, List<MembershipEffect> effects) {
        Set<HostRecord> targets = new HashSet<>(plan().watchersOf(mSelf));
        if (targets.size() < mTable.members().size()) {
            gossipPartner().ifPresent(targets::add);
        }
        Heartbeat heartbeat = heartbeat(gossip(nowMillis));
        targets.stream()
                .sorted((a, b) -> id(a).compareTo(id(b)))
                .forEach(host -> effects.add(new SendTo(host, heartbeat)));
    }

    private Optional<HostRecord> gossipPartner() {
        List<HostRecord> usable = mTable.records(Member::usable);
        return usable.isEmpty()
                ? Optional.empty()
                : Optional.of(usable.get(mRandom.nextInt(usable.size())));
    }

    private List<HostRecord> gossip(long nowMillis) {
        Set<HostRecord> records =
                new HashSet<>(
                        mTable.records(
                                m -> nowMillis - m.changedMillis() < mSettings.recentMillis()));
        records.addAll(mTable.inTurn(mSettings.gossipRecords(), member -> true));
        return records.stream()
                .sorted((a, b) -> id(a).compareTo(id(b)))
                .collect(Collectors.toList());
    }

    private Heartbeat heartbeat(List<HostRecord> records) {
        mSequence++;
        return new Heartbeat(
                mSelf,
                mSequence,
                mSource.configurationDigest(),
                mSource.inForceVersion(),
                records,
                mSource.ledgers());
    }

    private Member join(HostRecord sender, long nowMillis, List<MembershipEffect> effects) {
        Member member = mTable.put(sender, nowMillis);
        changed(member, effects);
        introduce(sender, effects);
        return member;
    }

    private void introduce(HostRecord to, List<MembershipEffect> effects) {
        effects.add(new SendTo(to, heartbeat(mTable.records(member -> true))));
    }

    private void hearsay(
            HostRecord said, HostRecord from, long nowMillis, List<MembershipEffect> effects) {
        if (id(said).equals(id(mSelf))) {
            onOwnName(said, Optional.of(from), nowMillis, effects);
            return;
        }
        Optional<Member> known = mTable.member(id(said));
        if (known.isEmpty()) {
            hearOfNew(said, nowMillis, effects);
        } else if (supersedes(said, known.get().record())) {
            changed(mTable.put(withoutSuspicion(said), nowMillis), effects);
        } else if (sameLife(said, known.get().record())) {
            hearOfSame(known.get(), said.state(), from, nowMillis, effects);
        }
    }

    private void hearOfNew(HostRecord said, long nowMillis, List<MembershipEffect> effects) {
        if (said.state() != HostState.DEAD) {
            changed(mTable.put(withoutSuspicion(said), nowMillis), effects);
        }
    }

    private void hearOfSame(
            Member member,
            HostState said,
            HostRecord from,
            long nowMillis,
            List<MembershipEffect> effects) {
        switch (said) {
            case LEAVING -> {
                if (member.leave(nowMillis)) {
                    changed(member, effects);
                }
            }
            case DEAD -> hearOfDeath(member, from, nowMillis, effects);
            case ALIVE -> {
                if (member.dead() && retryDue(member, nowMillis)) {
                    probe(member, nowMillis, effects);
                }
            }
            default -> {
                // Another host's suspicion is its own matter until it is confirmed.
            }
        }
    }

    private void hearOfDeath(
            Member member, HostRecord from, long nowMillis, List<MembershipEffect> effects) {
        boolean heardLately = nowMillis - member.heardMillis() < mSettings.probeTimeoutMillis();
        if (member.dead() || heardLately || member.suspicion().isPresent()) {
            return;
        }
        if (!from.domain().equals(mSelf.domain()) && member.relayDeathOnce()) {
            Heartbeat news = heartbeat(List.of(member.record().in(HostState.DEAD)));
            plan().relayTargets(mSelf).forEach(host -> effects.add(new SendTo(host, news)));
        }
        suspect(member, false, nowMillis, effects);
    }

    private void onOwnName(
            HostRecord said,
            Optional<HostRecord> from,
            long nowMillis,
            List<MembershipEffect> effects) {
        if (supersedes(said, mSelf)) {
            effects.add(new Superseded(said.incarnation()));
            return;
        }
        boolean doubted = said.state() == HostState.SUSPECT || said.state() == HostState.DEAD;
        if (doubted && sameLife(said, mSelf)) {
            from.ifPresent(host -> effects.add(new SendTo(host, heartbeat(List.of()))));
        }
    }

    private void suspectSilent(long nowMillis, List<MembershipEffect> effects) {
        Set<HostId> watched = watched();
        mTable.members().stream()
                .filter(member -> !member.dead() && member.suspicion().isEmpty())
                .filter(m -> m.state() == HostState.SUSPECT || watched.contains(id(m.record())))
                .filter(m -> nowMillis - m.heardMillis() >= mSettings.suspectAfterMillis())
                .filter(member -> !member.unreachableHere() || retryDue(member, nowMillis))
                .forEach(member -> suspect(member, true, nowMillis, effects));
    }

    private void suspect(
            Member member, boolean firstHand, long nowMillis, List<MembershipEffect> effects) {
        List<HostRecord> helpers = firstHand ? helpers(member) : List.of();
        Suspicion suspicion =
                new Suspicion(
                        nowMillis + mSettings.probeTimeoutMillis(), helpers.size(), firstHand);
        if (member.suspect(suspicion, nowMillis)) {
            changed(member, effects);
        }
        effects.add(new ProbeByNewConnection(member.record()));
        ProbeAsk ask = new ProbeAsk(member.record());
        helpers.forEach(helper -> effects.add(new SendTo(helper, ask)));
    }

    private List<HostRecord> helpers(Member suspect) {
        List<HostRecord> candidates =
                mTable.records(m -> m.usable() && m.state() == HostState.ALIVE && m != suspect);
        List<HostRecord> chosen = new ArrayList<>();
        while (chosen.size() < mSettings.probeHelpers() && !candidates.isEmpty()) {
            chosen.add(candidates.remove(mRandom.nextInt(candidates.size())));
        }
        return chosen;
    }

    private void ownResult(
            Member member, boolean reachable, long nowMillis, List<MembershipEffect> effects) {
        if (reachable) {
            boolean wasDead = member.dead();
            if (member.heard(nowMillis)) {
                changed(member, effects);
            }
            if (wasDead) {
                introduce(member.record(), effects);
            }
            return;
        }
        member.suspicion().ifPresent(suspicion -> suspicion.ownResult(false));
        judge(member, nowMillis, effects);
    }

    private void judgeSuspects(long nowMillis, List<MembershipEffect> effects) {
        List.copyOf(mTable.members()).forEach(member -> judge(member, nowMillis, effects));
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
            changed(member, effects);
            return;
        }
        member.die(nowMillis);
        mDigests.remove(id(member.record()));
        changed(member, effects);
        if (suspicion.firstHand()) {
            Heartbeat news = heartbeat(List.of(member.record()));
            plan().newsTargets(mSelf).forEach(host -> effects.add(new SendTo(host, news)));
        }
    }

    private void retryLost(long nowMillis, List<MembershipEffect> effects) {
        mTable.inTurn(1, member -> member.dead() || member.unreachableHere())
                .forEach(host -> effects.add(new SendTo(host, heartbeat(List.of(host)))));
        greetHinted(effects);
    }

    private void greetHinted(List<MembershipEffect> effects) {
        List<HostRecord> unmet =
                mHints.values().stream()
                        .filter(hint -> mTable.member(id(hint)).isEmpty())
                        .collect(Collectors.toList());
        if (!unmet.isEmpty()) {
            HostRecord chosen = unmet.get(mRandom.nextInt(unmet.size()));
            effects.add(new SendTo(chosen, heartbeat(List.of())));
        }
    }

    private void probe(Member member, long nowMillis, List<MembershipEffect> effects) {
        member.probed(nowMillis);
        effects.add(new ProbeByNewConnection(member.record()));
    }

    private boolean retryDue(Member member, long nowMillis) {
        return nowMillis - member.probedMillis() >= mSettings.retryMillis();
    }

    private void forgetDead(long nowMillis) {
        mTable.removeIf(
                member ->
                        member.dead()
                                && nowMillis - member.changedMillis()
                                        >= mSettings.forgetDeadMillis());
    }

    private void changed(Member member, List<MembershipEffect> effects) {
        viewChanged();
        effects.add(new HostChanged(member.record()));
    }

    private void viewChanged() {
        mPlan = Optional.empty();
    }

    private WatchPlan plan() {
        if (mPlan.isEmpty()) {
            List<HostRecord> taking =
                    Stream.concat(Stream.of(mSelf), mTable.records(m -> !m.dead()).stream())
                            .collect(Collectors.toList());
            WatchPlan plan = new WatchPlan(mSettings, taking);
            mPlan = Optional.of(plan);
            mWatched = plan.watchedBy(mSelf, taking);
        }
        return mPlan.get();
    }

    private Set<HostId> watched() {
        plan();
        return mWatched;
    }

    private static HostRecord withoutSuspicion(HostRecord said) {
        return said.state() == HostState.SUSPECT ? said.in(HostState.ALIVE) : said;
    }

    private static boolean supersedes(HostRecord a, HostRecord b) {
        return a.incarnation().supersedes(b.incarnation());
    }

    private static boolean sameLife(HostRecord a, HostRecord b) {
        return a.incarnation().equals(b.incarnation());
    }

    private static HostId id(HostRecord record) {
        return record.incarnation().host();
    }
}
