package org.cyclamenpaddle.router.grant;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cyclamenpaddle.core.config.Assignment;
import org.cyclamenpaddle.core.config.BackendRole;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.config.ConfigurationView;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.message.GrantDecision;
import org.cyclamenpaddle.core.message.GrantRegister;
import org.cyclamenpaddle.core.message.GrantRelease;
import org.cyclamenpaddle.core.message.GrantRequest;
import org.cyclamenpaddle.core.message.GrantResponse;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.LedgerSummary;
import org.cyclamenpaddle.core.message.PeerMessage;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.router.blackboard.Blackboard;
import org.cyclamenpaddle.router.event.EventLog;
import org.cyclamenpaddle.router.event.LogEvent;
import org.cyclamenpaddle.router.metric.RouterMetrics;
import org.cyclamenpaddle.router.request.GrantClient;
import org.cyclamenpaddle.routing.grant.GrantLedger;
import org.cyclamenpaddle.routing.grant.LedgerSettings;
import org.cyclamenpaddle.routing.grant.ObservedAttempt;

/**
 * Keeps the ledgers of the backend servers that this host owns, and asks other owners.
 *
 * <p>A ledger is soft state. When ownership moves, every host registers what it holds with the new
 * owner, which is conservative until it has seen the engine's own list.
 */
public final class LedgerManager implements GrantClient {

    /** Longest wait for another owner's answer, in milliseconds. */
    private static final long ASK_MILLIS = 120;

    /** How long a new owner is conservative, in milliseconds. */
    private static final long RECOVERY_MILLIS = 1_500;

    private final Blackboard mBlackboard;
    private final HostView mHosts;
    private final PeerLink mPeers;
    private final Clock mClock;
    private final EventLog mLog;
    private final RouterMetrics mMetrics;
    private final Map<BackendId, GrantLedger> mFormerRoles = new ConcurrentHashMap<>();
    private final Map<BackendId, HostId> mLastOwner = new ConcurrentHashMap<>();

    /**
     * Creates a keeper that owns nothing yet.
     *
     * @param blackboard tables of this host
     * @param hosts who owns what
     * @param peers other hosts
     * @param clock time in milliseconds
     * @param log events
     * @param metrics counts moves of ownership
     */
    public LedgerManager(
            Blackboard blackboard,
            HostView hosts,
            PeerLink peers,
            Clock clock,
            EventLog log,
            RouterMetrics metrics) {
        mBlackboard = blackboard;
        mHosts = hosts;
        mPeers = peers;
        mClock = clock;
        mLog = log;
        mMetrics = metrics;
    }

    @Override
    public CompletableFuture<GrantResponse> request(GrantRequest ask) {
        Optional<HostRecord> owner = spec(ask.backend()).flatMap(mHosts::owner);
        if (owner.isEmpty()) {
            return CompletableFuture.completedFuture(answer(ask, GrantDecision.UNAVAILABLE));
        }
        if (isSelf(owner.get())) {
            return CompletableFuture.completedFuture(decide(ask));
        }
        return mPeers.request(owner.get(), ask, ASK_MILLIS)
                .thenApply(
                        answer ->
                                answer.isRight() && answer.get() instanceof GrantResponse granted
                                        ? granted
                                        : answer(ask, GrantDecision.UNAVAILABLE));
    }

    @Override
    public void release(AttemptId attempt, BackendId backend) {
        spec(backend)
                .flatMap(mHosts::owner)
                .ifPresent(
                        owner -> {
                            GrantRelease end = new GrantRelease(attempt, backend);
                            if (isSelf(owner)) {
                                onEnd(end);
                            } else {
                                mPeers.send(owner, end);
                            }
                        });
    }

    /** Decides on an ask, of this host or a peer, by this host's ledger. */
    public GrantResponse decide(GrantRequest ask) {
        Optional<BackendSpec> spec = spec(ask.backend());
        if (spec.isEmpty() || !mHosts.owns(spec.get())) {
            return answer(ask, GrantDecision.NOT_OWNER);
        }
        Optional<BackendRole> role = role(ask.backend());
        if (role.isEmpty()) {
            return answer(ask, GrantDecision.UNAVAILABLE);
        }
        return mBlackboard
                .grants()
                .read(
                        ledgers ->
                                ledger(ledgers, spec.get(), role.get())
                                        .request(ask, mClock.millis()));
    }

    /** Takes back room. */
    public void onEnd(GrantRelease end) {
        mBlackboard
                .grants()
                .write(
                        ledgers ->
                                kept(ledgers, end.backend())
                                        .forEach(
                                                ledger ->
                                                        ledger.release(
                                                                end.attempt(), mClock.millis())));
    }

    /** Enters what a peer's attempts hold. */
    public void onRegister(GrantRegister register) {
        register.held()
                .forEach(
                        ask ->
                                spec(ask.backend())
                                        .filter(mHosts::owns)
                                        .ifPresent(spec -> registerHeld(spec, ask)));
    }

    /** Enters what the engine itself says that it holds. */
    public void observe(BackendId backend, List<ObservedAttempt> attempts) {
        mBlackboard
                .grants()
                .write(
                        ledgers ->
                                kept(ledgers, backend)
                                        .forEach(
                                                ledger ->
                                                        ledger.observe(attempts, mClock.millis())));
    }

    /** Grants nothing new on a backend server until {@link #open}. */
    public void close(BackendId backend) {
        mBlackboard.grants().write(ledgers -> kept(ledgers, backend).forEach(GrantLedger::close));
    }

    /** Grants again on a backend server, if its ledger has this role. */
    public void open(BackendId backend, BackendRole role) {
        mBlackboard
                .grants()
                .write(
                        ledgers ->
                                kept(ledgers, backend)
                                        .filter(ledger -> ledger.role() == role)
                                        .forEach(GrantLedger::open));
    }

    /** Returns how many attempts hold or are promised room, also by a role just left. */
    public int grantCount(BackendId backend) {
        return mBlackboard
                .grants()
                .read(
                        ledgers ->
                                kept(ledgers, backend)
                                        .mapToInt(ledger -> ledger.attempts().size())
                                        .sum());
    }

    /** Follows the preset in force and the view of the hosts: takes and gives ledgers. */
    public synchronized void tick() {
        ConfigurationView view = mBlackboard.view();
        Map<BackendId, BackendSpec> owned =
                view.assignments().values().stream()
                        .filter(assignment -> assignment.role() != BackendRole.PLAIN)
                        .flatMap(assignment -> spec(assignment.backend()).stream())
                        .filter(mHosts::owns)
                        .collect(Collectors.toMap(BackendSpec::id, spec -> spec));
        giveAway(owned);
        owned.values().forEach(this::respecify);
        view.assignments().keySet().forEach(this::followOwner);
        hintSelf();
    }

    /** Returns the backend servers whose ledgers this host keeps. */
    public List<BackendSpec> owned() {
        return mBlackboard.grants().read(ledgers -> List.copyOf(ledgers.keySet())).stream()
                .flatMap(id -> spec(id).stream())
                .collect(Collectors.toList());
    }

    /** Returns what this host's heartbeats tell of its ledgers. */
    public List<LedgerSummary> summaries() {
        long now = mClock.millis();
        List<LedgerSummary> summaries =
                mBlackboard
                        .grants()
                        .read(
                                ledgers ->
                                        ledgers.values().stream()
                                                .map(ledger -> ledger.summary(now))
                                                .collect(Collectors.toList()));
        return summaries.stream().map(summary -> withReach(summary, now)).toList();
    }

    /** Returns the attempts that hold or are promised room in this host's ledgers. */
    public int totalGrantCount() {
        return mBlackboard
                .grants()
                .read(
                        ledgers ->
                                ledgers.values().stream()
                                        .mapToInt(ledger -> ledger.attempts().size())
                                        .sum());
    }

    private LedgerSummary withReach(LedgerSummary summary, long now) {
        boolean suspected =
                mBlackboard.backends().read(table -> table.suspected(summary.backend(), now));
        return new LedgerSummary(
                summary.backend(),
                summary.freeInMillis(),
                summary.freeSlots(),
                summary.freePieces(),
                summary.reachable() && !suspected);
    }

    private void hintSelf() {
        long now = mClock.millis();
        List<LedgerSummary> summaries = summaries();
        mBlackboard
                .backends()
                .write(table -> summaries.forEach(summary -> table.hint(summary, now)));
    }

    private void giveAway(Map<BackendId, BackendSpec> owned) {
        List<BackendId> given =
                mBlackboard
                        .grants()
                        .read(
                                ledgers ->
                                        ledgers.keySet().stream()
                                                .filter(id -> !owned.containsKey(id))
                                                .collect(Collectors.toList()));
        for (BackendId backend : given) {
            mBlackboard.grants().write(ledgers -> ledgers.remove(backend));
            mFormerRoles.remove(backend);
            mMetrics.ownershipReleased();
            mLog.log(
                    LogEvent.OWNERSHIP_RELEASED,
                    backend,
                    spec(backend)
                            .flatMap(mHosts::owner)
                            .map(host -> host.incarnation().host().value())
                            .orElse("nobody"));
        }
    }

    private void respecify(BackendSpec spec) {
        role(spec.id())
                .ifPresent(
                        role ->
                                mBlackboard
                                        .grants()
                                        .write(
                                                ledgers ->
                                                        ledger(ledgers, spec, role)
                                                                .updateSpec(spec)));
    }

    /** Registers what this host holds when a ledger has another owner than before. */
    private void followOwner(BackendId backend) {
        Optional<HostRecord> owner = spec(backend).flatMap(mHosts::owner);
        if (owner.isEmpty()) {
            return;
        }
        HostId name = owner.get().incarnation().host();
        HostId last = mLastOwner.put(backend, name);
        if (last == null || last.equals(name)) {
            return;
        }
        List<GrantRequest> held =
                mBlackboard.requests().read(table -> table.grantsRequestedOn(backend));
        if (held.isEmpty()) {
            return;
        }
        GrantRegister register = new GrantRegister(held);
        if (isSelf(owner.get())) {
            onRegister(register);
        } else {
            mPeers.send(owner.get(), register);
        }
    }

    private void registerHeld(BackendSpec spec, GrantRequest ask) {
        role(spec.id())
                .ifPresent(
                        role ->
                                mBlackboard
                                        .grants()
                                        .write(
                                                ledgers ->
                                                        ledger(ledgers, spec, role)
                                                                .register(ask, mClock.millis())));
    }

    private GrantLedger ledger(
            Map<BackendId, GrantLedger> ledgers, BackendSpec spec, BackendRole role) {
        GrantLedger kept = ledgers.get(spec.id());
        if (kept != null && kept.role() == role) {
            return kept;
        }
        GrantLedger fresh = new GrantLedger(spec, role, LedgerSettings.DEFAULTS);
        fresh.recoverUntil(mClock.millis() + RECOVERY_MILLIS);
        if (role != BackendRole.PLAIN) {
            // Until the engine was asked, it may still be set up for something else; work that it
            // must refuse would come back to the caller as a failed attempt.
            fresh.close();
        }
        if (kept != null) {
            // What was granted in the former role must still end before the engine is changed.
            mFormerRoles.put(spec.id(), kept);
        }
        ledgers.put(spec.id(), fresh);
        mMetrics.ownershipAcquired();
        mLog.log(LogEvent.OWNERSHIP_ACQUIRED, spec.id(), lastOwner(spec.id()));
        return fresh;
    }

    private Stream<GrantLedger> kept(Map<BackendId, GrantLedger> ledgers, BackendId backend) {
        return Stream.of(ledgers, mFormerRoles)
                .flatMap(kept -> Optional.ofNullable(kept.get(backend)).stream());
    }

    private String lastOwner(BackendId backend) {
        return Optional.ofNullable(mLastOwner.get(backend)).map(HostId::value).orElse("nobody");
    }

    private Optional<BackendSpec> spec(BackendId backend) {
        return Optional.ofNullable(mBlackboard.view().backends().get(backend));
    }

    private Optional<BackendRole> role(BackendId backend) {
        return Optional.ofNullable(mBlackboard.view().assignments().get(backend))
                .map(Assignment::role);
    }

    private boolean isSelf(HostRecord host) {
        return host.incarnation().equals(mHosts.self().incarnation());
    }

    private static GrantResponse answer(GrantRequest ask, GrantDecision decision) {
        return new GrantResponse(ask.attempt(), ask.backend(), decision, 0, 0);
    }

    /** Returns the answer to a peer's message about grants, if this is one that takes an answer. */
    public Optional<PeerMessage> onPeerMessage(PeerMessage message) {
        if (message instanceof GrantRequest ask) {
            return Optional.of(decide(ask));
        }
        if (message instanceof GrantRelease end) {
            onEnd(end);
        } else if (message instanceof GrantRegister register) {
            onRegister(register);
        }
        return Optional.empty();
    }
}
