package org.cyclamenpaddle.router.backend;

import java.util.concurrent.atomic.AtomicInteger;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.outcome.RetryReason;
import org.cyclamenpaddle.router.blackboard.Blackboard;
import org.cyclamenpaddle.router.metric.RouterMetrics;
import org.cyclamenpaddle.router.worker.Workers;

/**
 * Cancels attempts, retrying until the engine confirms or is no longer declared.
 *
 * <p>A lost cancel would leave engine memory occupied for a caller that has disconnected. The owner
 * of the backend server does not intervene while this host is alive, so this host must keep
 * retrying.
 */
public final class Canceller {

    private static final long INITIAL_RETRY_DELAY_MILLIS = 50;
    private static final long MAX_RETRY_DELAY_MILLIS = 800;
    private static final int MAX_BACKOFF_SHIFT = 4;

    private final BackendClients mClients;
    private final Blackboard mBlackboard;
    private final Workers mWorkers;
    private final RouterMetrics mMetrics;
    private final AtomicInteger mPending = new AtomicInteger();

    /**
     * Creates a canceller.
     *
     * @param clients engine clients
     * @param blackboard provides the declared backend servers
     * @param workers timers
     * @param metrics counts retried cancels
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

    /** Returns the number of cancels that no engine has confirmed yet. */
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
        long delayMillis = INITIAL_RETRY_DELAY_MILLIS << Math.min(MAX_BACKOFF_SHIFT, failures);
        mWorkers.schedule(
                Math.min(MAX_RETRY_DELAY_MILLIS, delayMillis),
                () -> attempt(backend, attempt, failures + 1));
    }
}
