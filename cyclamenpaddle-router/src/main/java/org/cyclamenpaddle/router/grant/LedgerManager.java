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
 * Manages the ledgers of the backend servers that this host owns, and requests grants from other
 * owners.
 *
 * <p>A ledger is soft state. When ownership moves, every host registers its reservations with the
 * new owner, which grants conservatively until it has read the engine's own list of attempts.
 */
public final class LedgerManager implements GrantClient {

    /** Maximum wait for the response of another owner. */
    private static final long REQUEST_TIMEOUT_MILLIS = 120;

    /** How long a new owner grants conservatively. */
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
     * Creates a manager that owns no ledgers yet.
     *
     * @param blackboard tables of this host
     * @param hosts determines the owner of each backend server
     * @param peers sends messages to other hosts
     * @param clock time in milliseconds
     * @param log events
     * @param metrics counts ownership changes
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
    public CompletableFuture<GrantResponse> request(GrantRequest request) {
        Optional<HostRecord> owner = spec(request.backend()).flatMap(mHosts::owner);
        if (owner.isEmpty()) {
            return CompletableFuture.completedFuture(
                    grantResponse(request, GrantDecision.UNAVAILABLE));
        }
        if (isSelf(owner.get())) {
            return CompletableFuture.completedFuture(decide(request));
        }
        return mPeers.request(owner.get(), request, REQUEST_TIMEOUT_MILLIS)
                .thenApply(
                        response ->
                                response.isRight()
                                                && response.get() instanceof GrantResponse granted
                                        ? granted
                                        : grantResponse(request, GrantDecision.UNAVAILABLE));
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

    /** Decides on a grant request of this host or a peer, based on this host's ledger. */
    public GrantResponse decide(GrantRequest request) {
        Optional<BackendSpec> spec = spec(request.backend());
        if (spec.isEmpty() || !mHosts.owns(spec.get())) {
            return grantResponse(request, GrantDecision.NOT_OWNER);
        }
        Optional<BackendRole> role = role(request.backend());
        if (role.isEmpty()) {
            return grantResponse(request, GrantDecision.UNAVAILABLE);
        }
        return mBlackboard
                .grants()
                .read(
                        ledgers ->
                                ledger(ledgers, spec.get(), role.get())
                                        .request(request, mClock.millis()));
    }

    /** Releases the reservation of an attempt. */
    public void onEnd(GrantRelease end) {
        mBlackboard
                .grants()
                .write(
                        ledgers ->
                                ledgersOf(ledgers, end.backend())
                                        .forEach(
                                                ledger ->
                                                        ledger.release(
                                                                end.attempt(), mClock.millis())));
    }

    /** Registers the reservations of a peer's attempts. */
    public void onRegister(GrantRegister register) {
        register.held()
                .forEach(
                        request ->
                                spec(request.backend())
                                        .filter(mHosts::owns)
                                        .ifPresent(spec -> registerHeld(spec, request)));
    }

    /** Updates the ledger with the attempts that the engine itself lists. */
    public void observe(BackendId backend, List<ObservedAttempt> attempts) {
        mBlackboard
                .grants()
                .write(
                        ledgers ->
                                ledgersOf(ledgers, backend)
                                        .forEach(
                                                ledger ->
                                                        ledger.observe(attempts, mClock.millis())));
    }

    /** Stops granting on a backend server until {@link #open}. */
    public void close(BackendId backend) {
        mBlackboard
                .grants()
                .write(ledgers -> ledgersOf(ledgers, backend).forEach(GrantLedger::close));
    }

    /** Resumes granting on a backend server, if its ledger has this role. */
    public void open(BackendId backend, BackendRole role) {
        mBlackboard
                .grants()
                .write(
                        ledgers ->
                                ledgersOf(ledgers, backend)
                                        .filter(ledger -> ledger.role() == role)
                                        .forEach(GrantLedger::open));
    }

    /**
     * Returns the number of attempts with a current or future reservation on a backend server,
     * including those granted in its former role.
     */
    public int grantCount(BackendId backend) {
        return mBlackboard
                .grants()
                .read(
                        ledgers ->
                                ledgersOf(ledgers, backend)
                                        .mapToInt(ledger -> ledger.attempts().size())
                                        .sum());
    }

    /**
     * Applies the preset in force and the view of the hosts: creates newly owned ledgers and
     * releases those owned by other hosts.
     */
    public synchronized void tick() {
        ConfigurationView view = mBlackboard.view();
        Map<BackendId, BackendSpec> owned =
                view.assignments().values().stream()
                        .filter(assignment -> assignment.role() != BackendRole.PLAIN)
                        .flatMap(assignment -> spec(assignment.backend()).stream())
                        .filter(mHosts::owns)
                        .collect(Collectors.toMap(BackendSpec::id, spec -> spec));
        releaseLedgers(owned);
        owned.values().forEach(this::respecify);
        view.assignments().keySet().forEach(this::registerWithNewOwner);
        refreshOwnHints();
    }

    /** Returns the backend servers whose ledgers this host owns. */
    public List<BackendSpec> owned() {
        return mBlackboard.grants().read(ledgers -> List.copyOf(ledgers.keySet())).stream()
                .flatMap(id -> spec(id).stream())
                .collect(Collectors.toList());
    }

    /** Returns the summaries of this host's ledgers for its heartbeats. */
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
        return summaries.stream().map(summary -> withReachability(summary, now)).toList();
    }

    /**
     * Returns the number of attempts with a current or future reservation in this host's ledgers.
     */
    public int totalGrantCount() {
        return mBlackboard
                .grants()
                .read(
                        ledgers ->
                                ledgers.values().stream()
                                        .mapToInt(ledger -> ledger.attempts().size())
                                        .sum());
    }

    private LedgerSummary withReachability(LedgerSummary summary, long now) {
        boolean suspected =
                mBlackboard.backends().read(table -> table.suspected(summary.backend(), now));
        return new LedgerSummary(
                summary.backend(),
                summary.freeInMillis(),
                summary.freeSlots(),
                summary.freePieces(),
                summary.reachable() && !suspected);
    }

    private void refreshOwnHints() {
        long now = mClock.millis();
        List<LedgerSummary> summaries = summaries();
        mBlackboard
                .backends()
                .write(table -> summaries.forEach(summary -> table.hint(summary, now)));
    }

    private void releaseLedgers(Map<BackendId, BackendSpec> owned) {
        List<BackendId> released =
                mBlackboard
                        .grants()
                        .read(
                                ledgers ->
                                        ledgers.keySet().stream()
                                                .filter(id -> !owned.containsKey(id))
                                                .collect(Collectors.toList()));
        for (BackendId backend : released) {
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

    /** Registers this host's reservations when a ledger has a new owner. */
    private void registerWithNewOwner(BackendId backend) {
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

    private void registerHeld(BackendSpec spec, GrantRequest request) {
        role(spec.id())
                .ifPresent(
                        role ->
                                mBlackboard
                                        .grants()
                                        .write(
                                                ledgers ->
                                                        ledger(ledgers, spec, role)
                                                                .register(
                                                                        request, mClock.millis())));
    }

    private GrantLedger ledger(
            Map<BackendId, GrantLedger> ledgers, BackendSpec spec, BackendRole role) {
        GrantLedger existing = ledgers.get(spec.id());
        if (existing != null && existing.role() == role) {
            return existing;
        }
        GrantLedger fresh = new GrantLedger(spec, role, LedgerSettings.DEFAULTS);
        fresh.recoverUntil(mClock.millis() + RECOVERY_MILLIS);
        if (role != BackendRole.PLAIN) {
            // Until its state has been read, the engine may still be set up for another service or
            // role; work that it rejects would surface to the caller as a failed attempt.
            fresh.close();
        }
        if (existing != null) {
            // Reservations granted in the former role must end before the engine is changed.
            mFormerRoles.put(spec.id(), existing);
        }
        ledgers.put(spec.id(), fresh);
        mMetrics.ownershipAcquired();
        mLog.log(LogEvent.OWNERSHIP_ACQUIRED, spec.id(), lastOwner(spec.id()));
        return fresh;
    }

    private Stream<GrantLedger> ledgersOf(Map<BackendId, GrantLedger> ledgers, BackendId backend) {
        return Stream.of(ledgers, mFormerRoles)
                .flatMap(byBackend -> Optional.ofNullable(byBackend.get(backend)).stream());
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

    private static GrantResponse grantResponse(GrantRequest request, GrantDecision decision) {
        return new GrantResponse(request.attempt(), request.backend(), decision, 0, 0);
    }

    /** Handles a peer's message about grants; returns the response if the message expects one. */
    public Optional<PeerMessage> onPeerMessage(PeerMessage message) {
        if (message instanceof GrantRequest request) {
            return Optional.of(decide(request));
        }
        if (message instanceof GrantRelease end) {
            onEnd(end);
        } else if (message instanceof GrantRegister register) {
            onRegister(register);
        }
        return Optional.empty();
    }
}
