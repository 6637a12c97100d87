package org.cyclamenpaddle.router.backend;

import java.util.concurrent.atomic.AtomicInteger;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.outcome.RetryReason;
import org.cyclamenpaddle.router.blackboard.Blackboard;
import org.cyclamenpaddle.router.metric.RouterMetrics;
import org.cyclamenpaddle.router.worker.Workers;

/**
 * Cancels attempts until the engine confirms, or is not declared any more.
 *
 * <p>A cancel that is lost would leave engine memory held for a caller who has gone. The owner of
 * the backend server does not step in while this host lives, so this host must not give up.
 */
public final class Canceller {

    private static final long FIRST_PAUSE_MILLIS = 50;
    private static final long LONGEST_PAUSE_MILLIS = 800;
    private static final int MOST_DOUBLINGS = 4;

    private final BackendClients mClients;
    private final Blackboard mBlackboard;
    private final Workers mWorkers;
    private final RouterMetrics mMetrics;
    private final AtomicInteger mPending = new AtomicInteger();

    /**
     * Creates a canceller.
     *
     * @param clients engines
     * @param blackboard tells which backend servers are declared
     * @param workers timers
     * @param metrics counts repeated cancels
     */
    public Canceller(
            BackendClients clients, Blackboard blackboard, Workers workers, RouterMetrics metrics) {
        mClients = clients;
        mBlackboard = blackboard;
        mWorkers = workers;
        mMetrics = metrics;
    }

    /** Starts cancelling an attempt. */
    public void cancel(BackendSpec backend, AttemptId attempt) {
        mPending.incrementAndGet();
        attempt(backend, attempt, 0);
    }

    /** Returns the cancels that no engine has confirmed yet. */
    public int pending() {
        return mPending.get();
    }

    private void attempt(BackendSpec backend, AttemptId attempt, int failures) {
        mClients.engine(backend)
                .cancel(attempt)
                .exceptionally(failure -> false)
                .thenAccept(confirmed -> settle(backend, attempt, failures, confirmed));
    }

    private void settle(BackendSpec backend, AttemptId attempt, int failures, boolean confirmed) {
        boolean declared = mBlackboard.view().backends().containsKey(backend.id());
        if (confirmed || !declared) {
            mPending.decrementAndGet();
            return;
        }
        mMetrics.recordRetry(RetryReason.CANCEL_UNCONFIRMED);
        long pause = FIRST_PAUSE_MILLIS << Math.min(MOST_DOUBLINGS, failures);
        mWorkers.schedule(
                Math.min(LONGEST_PAUSE_MILLIS, pause),
                () -> attempt(backend, attempt, failures + 1));
    }
}
