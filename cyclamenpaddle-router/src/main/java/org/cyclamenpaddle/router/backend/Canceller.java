package org.cyclamenpaddle.router.backend;

import java.util.concurrent.atomic.AtomicInteger;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.outcome.RetryReason;
import org.cyclamenpaddle.router.metric.RouterMetrics;
import org.cyclamenpaddle.router.worker.Workers;

/**
 * Cancels attempts until the engine confirms.
 *
 * <p>A cancel that is lost would leave engine memory held for a caller who has gone. It is repeated
 * for {@value #TRIES} tries; after that the owner of the backend server finds the attempt in the
 * engine's list and cancels it.
 */
public final class Canceller {

    private static final int TRIES = 12;
    private static final long FIRST_PAUSE_MILLIS = 50;
    private static final long LONGEST_PAUSE_MILLIS = 1_000;

    private final BackendClients mClients;
    private final Workers mWorkers;
    private final RouterMetrics mMetrics;
    private final AtomicInteger mPending = new AtomicInteger();

    /**
     * Creates a canceller.
     *
     * @param clients engines
     * @param workers timers
     * @param metrics counts repeated cancels
     */
    public Canceller(BackendClients clients, Workers workers, RouterMetrics metrics) {
        mClients = clients;
        mWorkers = workers;
        mMetrics = metrics;
    }

    /** Starts cancelling an attempt. */
    public void cancel(BackendSpec backend, AttemptId attempt) {
        mPending.incrementAndGet();
        attempt(backend, attempt, 1);
    }

    /** Returns the cancels that no engine has confirmed yet. */
    public int pending() {
        return mPending.get();
    }

    private void attempt(BackendSpec backend, AttemptId attempt, int tries) {
        mClients.engine(backend)
                .cancel(attempt)
                .exceptionally(failure -> false)
                .thenAccept(confirmed -> settle(backend, attempt, tries, confirmed));
    }

    private void settle(BackendSpec backend, AttemptId attempt, int tries, boolean confirmed) {
        if (confirmed || tries >= TRIES) {
            mPending.decrementAndGet();
            return;
        }
        mMetrics.retried(RetryReason.CANCEL_UNCONFIRMED);
        long pause = Math.min(LONGEST_PAUSE_MILLIS, FIRST_PAUSE_MILLIS << (tries - 1));
        mWorkers.after(pause, () -> attempt(backend, attempt, tries + 1));
    }
}
