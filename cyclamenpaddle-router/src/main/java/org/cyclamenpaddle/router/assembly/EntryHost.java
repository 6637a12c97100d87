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

/** One entry host: starts its controllers and takes it through a planned stop. */
public final class EntryHost implements AutoCloseable {

    /** Longest wait for the configuration before this host joins without it. */
    private static final long LEARN_MILLIS = 5_000;

    /** Time from joining until members and ledgers have settled, and callers may come. */
    private static final long SETTLE_MILLIS = 1_500;

    private static final long HOST_TICK_MILLIS = 50;
    private static final long LEDGER_TICK_MILLIS = 200;
    private static final long ORDER_TICK_MILLIS = 100;
    private static final long FINDER_TICK_MILLIS = 1_000;
    private static final long STOP_TICK_MILLIS = 50;
    private static final long HAND_OVER_MILLIS = 1_000;

    private final RouterSettings mSettings;
    private final Controllers mControllers;
    private final HttpFront mFront;
    private final EventLog mLog;
    private final Table<StopSequence> mStop;
    private final CompletableFuture<Void> mStopped = new CompletableFuture<>();
    private volatile long mJoinedAt = -1;
    private volatile long mStopStartedAt;
    private volatile int mLedgersToHandOver;
    private final AtomicBoolean mReadyLogged = new AtomicBoolean();

    /**
     * Creates a host that is not started.
     *
     * @param settings its settings
     * @param failure told when an invariant is broken; must end the process
     */
    public EntryHost(RouterSettings settings, FatalErrorHandler failure) {
        mSettings = settings;
        mLog = new EventLog();
        mStop =
                new Table<>(
                        TableOrder.HOSTS,
                        new StopSequence(
                                new StopSettings(
                                        settings.timing().stopGraceMillis(), HAND_OVER_MILLIS)));
        mControllers = new Controllers(settings, mLog, failure);
        mFront = new HttpFront(settings, mControllers, this::stage, this::settled);
    }

    /** Binds its ports and starts its controllers; returns why that failed, if it did. */
    public Try<Void> start() {
        mControllers.learnConfiguration(LEARN_MILLIS);
        return mControllers
                .network()
                .start(mSettings.host().address(), mSettings.host().peerPort())
                .flatMap(port -> mFront.start())
                .andThen(this::startTicks);
    }

    /** Returns the port that callers and operators use. */
    public int httpPort() {
        return mFront.port();
    }

    /** Starts a planned stop, or leaves the one under way as it is. */
    public CompletableFuture<Void> stop() {
        long now = mControllers.clock().millis();
        mStop.read(sequence -> sequence.onSignal(now)).forEach(this::perform);
        return mStopped;
    }

    /** Returns the stage of the planned stop. */
    public StopStage stage() {
        return mStop.read(StopSequence::stage);
    }

    /** Ends everything at once, as a kill would but in this process; for tests. */
    @Override
    public void close() {
        mFront.close();
        mControllers.close();
    }

    private boolean settled() {
        long joined = mJoinedAt;
        return joined >= 0 && mControllers.clock().millis() - joined >= SETTLE_MILLIS;
    }

    private void startTicks() {
        mJoinedAt = mControllers.clock().millis();
        mLog.log(
                LogEvent.STARTED,
                mSettings.host().name(),
                mControllers.self().number(),
                mSettings.host().failureDomain(),
                mFront.port(),
                mSettings.host().peerPort());
        mControllers.workers().execute(mControllers.finder()::tick);
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
                .scheduleWithFixedDelay(FINDER_TICK_MILLIS, mControllers.finder()::tick);
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
                    mControllers.blackboard().configuration().read(cell -> cell.inForceVersion()));
        }
    }

    private void stopTick() {
        if (stage() == StopStage.RUNNING || stage() == StopStage.STOPPED) {
            return;
        }
        int open = mControllers.openWork();
        long now = mControllers.clock().millis();
        mStop.read(sequence -> sequence.tick(open, now)).forEach(this::perform);
    }

    private void perform(StopEffect effect) {
        if (!(effect instanceof StopEffect.Entered entered)) {
            return;
        }
        switch (entered.stage()) {
            case NOT_READY -> {
                mStopStartedAt = mControllers.clock().millis();
                mLog.log(
                        LogEvent.STOPPING,
                        mControllers.blackboard().requests().read(RequestTable::inFlight),
                        mSettings.timing().stopGraceMillis());
            }
            case HANDING_OVER -> {
                mLog.log(LogEvent.DRAINED, mControllers.clock().millis() - mStopStartedAt);
                mLedgersToHandOver = mControllers.ledgersKept();
                mControllers.membership().leave();
            }
            case STOPPED -> {
                mLog.log(LogEvent.STOPPED, mLedgersToHandOver);
                mStopped.complete(null);
            }
            default -> {
                // The stage alone says what is refused from now on.
            }
        }
    }
}
