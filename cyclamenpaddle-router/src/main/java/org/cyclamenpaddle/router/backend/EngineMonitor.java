package org.cyclamenpaddle.router.backend;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.cyclamenpaddle.core.config.BackendRole;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.engine.model.EngineAttempt;
import org.cyclamenpaddle.engine.model.EngineFailure;
import org.cyclamenpaddle.fleet.recovery.AttemptReconciler;
import org.cyclamenpaddle.fleet.recovery.RecoveryEffect;
import org.cyclamenpaddle.fleet.recovery.RecoverySettings;
import org.cyclamenpaddle.router.blackboard.Blackboard;
import org.cyclamenpaddle.router.blackboard.RequestTable;
import org.cyclamenpaddle.router.event.EventLog;
import org.cyclamenpaddle.router.event.LogEvent;
import org.cyclamenpaddle.router.grant.LedgerManager;
import org.cyclamenpaddle.router.peering.MembershipDriver;
import org.cyclamenpaddle.router.worker.Workers;
import org.cyclamenpaddle.routing.grant.ObservedAttempt;

/**
 * Polls the attempts of the engines that this host owns, updates their ledgers, and cancels
 * attempts that belong to no live host.
 */
public final class EngineMonitor {

    private final LedgerManager mLedgers;
    private final BackendClients mClients;
    private final MembershipDriver mMembership;
    private final Blackboard mBlackboard;
    private final AttemptsListener mListener;
    private final Workers mWorkers;
    private final Clock mClock;
    private final EventLog mLog;
    private final Map<BackendId, AttemptReconciler> mReconcilers = new ConcurrentHashMap<>();
    private final Set<BackendId> mPolling = ConcurrentHashMap.newKeySet();

    /**
     * Creates the monitor.
     *
     * @param ledgers which engines this host owns
     * @param clients engine clients
     * @param membership knows which incarnations of hosts have ended
     * @param blackboard tables of this host
     * @param listener receives the number of running attempts of each engine
     * @param workers worker pool
     * @param clock time in milliseconds
     * @param log events
     */
    public EngineMonitor(
            LedgerManager ledgers,
            BackendClients clients,
            MembershipDriver membership,
            Blackboard blackboard,
            AttemptsListener listener,
            Workers workers,
            Clock clock,
            EventLog log) {
        mLedgers = ledgers;
        mClients = clients;
        mMembership = membership;
        mBlackboard = blackboard;
        mListener = listener;
        mWorkers = workers;
        mClock = clock;
        mLog = log;
    }

    /** Polls every owned engine once, skipping engines with a poll in flight. */
    public void tick() {
        List<BackendSpec> owned = mLedgers.owned();
        mReconcilers
                .keySet()
                .retainAll(owned.stream().map(BackendSpec::id).collect(Collectors.toSet()));
        owned.forEach(this::read);
    }

    private void read(BackendSpec engine) {
        if (!mPolling.add(engine.id())) {
            return;
        }
        long requestedAt = mClock.millis();
        mWorkers.onResult(
                mClients.engine(engine).attempts(),
                response -> {
                    mPolling.remove(engine.id());
                    response.peek(listed -> onAttempts(engine, listed, requestedAt))
                            .peekLeft(failure -> failed(engine, failure));
                });
    }

    private void failed(BackendSpec engine, EngineFailure failure) {
        if (failure instanceof EngineFailure.Unreachable
                || failure instanceof EngineFailure.TimedOut) {
            mBlackboard.backends().write(table -> table.suspect(engine.id(), mClock.millis()));
        }
    }

    private void onAttempts(BackendSpec engine, List<EngineAttempt> listed, long requestedAt) {
        mBlackboard.backends().write(table -> table.recordResponse(engine.id()));
        mLedgers.observe(engine.id(), observed(listed));
        int running = (int) listed.stream().filter(attempt -> !attempt.ended()).count();
        mListener.onListed(engine.id(), running, requestedAt);
        Set<AttemptId> own = mBlackboard.requests().read(RequestTable::attempts);
        mReconcilers
                .computeIfAbsent(engine.id(), id -> reconciler())
                .reconcile(reconcilable(listed), true, own, mMembership::standing, requestedAt)
                .forEach(effect -> perform(engine, effect));
    }

    private AttemptReconciler reconciler() {
        return new AttemptReconciler(mMembership.self().incarnation(), RecoverySettings.DEFAULTS);
    }

    private void perform(BackendSpec engine, RecoveryEffect effect) {
        if (effect instanceof RecoveryEffect.Cancel cancel) {
            mLog.log(LogEvent.ATTEMPT_CANCELLED_BY_OWNER, engine.id(), cancel.attempt());
            mClients.engine(engine).cancel(cancel.attempt());
        }
    }

    private static List<org.cyclamenpaddle.fleet.recovery.EngineAttempt> reconcilable(
            List<EngineAttempt> listed) {
        return listed.stream()
                .map(
                        attempt ->
                                new org.cyclamenpaddle.fleet.recovery.EngineAttempt(
                                        attempt.attempt(), attempt.pieces(), attempt.ended()))
                .collect(Collectors.toList());
    }

    private static List<ObservedAttempt> observed(List<EngineAttempt> listed) {
        return listed.stream()
                .flatMap(
                        attempt ->
                                role(attempt.role())
                                        .map(
                                                role ->
                                                        new ObservedAttempt(
                                                                attempt.attempt(),
                                                                role,
                                                                attempt.pieces(),
                                                                attempt.ended()))
                                        .stream())
                .collect(Collectors.toList());
    }

    private static Optional<BackendRole> role(String text) {
        return List.of(BackendRole.values()).stream()
                .filter(role -> role.name().equals(text.toUpperCase(Locale.ROOT)))
                .findFirst();
    }
}
