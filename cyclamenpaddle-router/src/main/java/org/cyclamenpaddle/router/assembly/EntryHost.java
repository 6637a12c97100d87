package org.cyclamenpaddle.router.assembly;

import io.vavr.control.Try;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cyclamenpaddle.core.table.Table;
import org.cyclamenpaddle.core.table.TableOrder;
import org.cyclamenpaddle.fleet.drain.StopEffect;
import org.cyclamenpaddle.fleet.drain.StopSequence;
import org.cyclamenpaddle.fleet.drain.StopSettings;
import org.cyclamenpaddle.fleet.drain.StopStage;
import org.cyclamenpaddle.router.blackboard.RequestTable;
import org.cyclamenpaddle.router.event.EventLog;
import org.cyclamenpaddle.router.event.LogEvent;
import org.cyclamenpaddle.router.settings.RouterSettings;

/** Starts the controllers of one entry host and runs its planned stop. */
public final class EntryHost implements AutoCloseable {

    /** Maximum wait for the configuration before this host joins without it. */
    private static final long CONFIGURATION_TIMEOUT_MILLIS = 5_000;

    /** Time after joining until membership and ledgers have settled and callers may be served. */
    private static final long SETTLE_MILLIS = 1_500;

    private static final long HOST_TICK_MILLIS = 50;
    private static final long LEDGER_TICK_MILLIS = 200;
    private static final long ORDER_TICK_MILLIS = 100;
    private static final long DISCOVERY_TICK_MILLIS = 1_000;
    private static final long STOP_TICK_MILLIS = 50;
    private static final long HANDOVER_MILLIS = 1_000;

    private final RouterSettings mSettings;
    private final Controllers mControllers;
    private final HttpFront mFront;
    private final EventLog mLog;
    private final Table<StopSequence> mStop;
    private final CompletableFuture<Void> mStopped = new CompletableFuture<>();
    private volatile long mJoinedAtMillis = -1;
    private volatile long mStopStartedAtMillis;
    private volatile int mLedgersToHandOver;
    private final AtomicBoolean mReadyLogged = new AtomicBoolean();

    /**
     * Creates a host without starting it.
     *
     * @param settings its settings
     * @param fatalErrorHandler called when an invariant is violated; must end the process
     */
    public EntryHost(RouterSettings settings, FatalErrorHandler fatalErrorHandler) {
        mSettings = settings;
        mLog = new EventLog();
        mStop =
                new Table<>(
                        TableOrder.HOSTS,
                        new StopSequence(
                                new StopSettings(
                                        settings.timing().stopGraceMillis(), HANDOVER_MILLIS)));
        mControllers = new Controllers(settings, mLog, fatalErrorHandler);
        mFront = new HttpFront(settings, mControllers, this::stage, this::settled);
    }

    /** Binds the ports and starts the controllers; returns the cause if that failed. */
    public Try<Void> start() {
        mControllers.awaitConfiguration(CONFIGURATION_TIMEOUT_MILLIS);
        return mControllers
                .network()
                .start(mSettings.host().address(), mSettings.host().peerPort())
                .flatMap(port -> mFront.start())
                .andThen(this::startTicks);
    }

    /** Returns the HTTP port for callers and operators. */
    public int httpPort() {
        return mFront.port();
    }

    /**
     * Starts a planned stop; has no effect if one is in progress.
     *
     * @return a future that completes when the host has stopped
     */
    public CompletableFuture<Void> stop() {
        long now = mControllers.clock().millis();
        mStop.read(sequence -> sequence.onSignal(now)).forEach(this::perform);
        return mStopped;
    }

    /** Returns the stage of the planned stop. */
    public StopStage stage() {
        return mStop.read(StopSequence::stage);
    }

    /**
     * Closes everything immediately. Without a planned stop before it, this has the effect of a
     * kill of the process, which tests use.
     */
    @Override
    public void close() {
        mFront.close();
        mControllers.close();
    }

    private boolean settled() {
        long joined = mJoinedAtMillis;
        return joined >= 0 && mControllers.clock().millis() - joined >= SETTLE_MILLIS;
    }

    private void startTicks() {
        mJoinedAtMillis = mControllers.clock().millis();
        mLog.log(
                LogEvent.STARTED,
                mSettings.host().name(),
                mControllers.self().number(),
                mSettings.host().failureDomain(),
                mFront.port(),
                mSettings.host().peerPort());
        mControllers.workers().execute(mControllers.hostDiscovery()::tick);
        mControllers.workers().scheduleWithFixedDelay(HOST_TICK_MILLIS, this::hostTick);
        mControllers.workers().scheduleWithFixedDelay(LEDGER_TICK_MILLIS, mControllers::ledgerTick);
        mControllers
                .workers()
                .scheduleWithFixedDelay(ORDER_TICK_MILLIS, mControllers.orders()::tick);
        mControllers
                .workers()
                .scheduleWithFixedDelay(
                        mSettings.timing().reconcileMillis(), mControllers.engineMonitor()::tick);
        mControllers
                .workers()
                .scheduleWithFixedDelay(
                        mSettings.timing().loadPollMillis(), mControllers.prefixes()::tick);
        mControllers
                .workers()
                .scheduleWithFixedDelay(DISCOVERY_TICK_MILLIS, mControllers.hostDiscovery()::tick);
        mControllers.workers().scheduleWithFixedDelay(STOP_TICK_MILLIS, this::stopTick);
    }

    private void hostTick() {
        mControllers.hostTick();
        if (mControllers.blackboard().view().presetInForce().isPresent()
                && settled()
                && mReadyLogged.compareAndSet(false, true)) {
            mLog.log(
                    LogEvent.READY,
                    mControllers.blackboard().view().inForce().orElseThrow(),
                    mControllers
                            .blackboard()
                            .configuration()
                            .read(state -> state.inForceVersion()));
        }
    }

    private void stopTick() {
        if (stage() == StopStage.RUNNING || stage() == StopStage.STOPPED) {
            return;
        }
        int pending = mControllers.pendingWork();
        long now = mControllers.clock().millis();
        mStop.read(sequence -> sequence.tick(pending, now)).forEach(this::perform);
    }

    private void perform(StopEffect effect) {
        if (!(effect instanceof StopEffect.Entered entered)) {
            return;
        }
        switch (entered.stage()) {
            case NOT_READY -> {
                mStopStartedAtMillis = mControllers.clock().millis();
                mLog.log(
                        LogEvent.STOPPING,
                        mControllers.blackboard().requests().read(RequestTable::inFlight),
                        mSettings.timing().stopGraceMillis());
            }
            case HANDING_OVER -> {
                mLog.log(LogEvent.DRAINED, mControllers.clock().millis() - mStopStartedAtMillis);
                mLedgersToHandOver = mControllers.ownedLedgerCount();
                mControllers.membership().leave();
            }
            case STOPPED -> {
                mLog.log(LogEvent.STOPPED, mLedgersToHandOver);
                mStopped.complete(null);
            }
            default -> {
                // No action: the stage itself determines what is refused from now on.
            }
        }
    }
}
