package org.cyclamenpaddle.standins.engine;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Timer whose modelled time runs {@code speed} times as fast as real time. */
final class ExecutorEngineTimer implements EngineTimer {

    private static final long NANOS_PER_MICRO = 1_000;

    private final ScheduledExecutorService mExecutor;
    private final double mSpeed;
    private final long mOriginNanos = System.nanoTime();
    private volatile boolean mClosed;

    /** Creates a timer that runs tasks on {@code executor}, which must be single-threaded. */
    ExecutorEngineTimer(ScheduledExecutorService executor, double speed) {
        mExecutor = executor;
        mSpeed = speed;
    }

    @Override
    public long micros() {
        return (long) ((System.nanoTime() - mOriginNanos) * mSpeed / NANOS_PER_MICRO);
    }

    @Override
    public void schedule(long delayMicros, Runnable task) {
        long nanos = (long) (delayMicros * NANOS_PER_MICRO / mSpeed);
        try {
            mExecutor.schedule(() -> run(task), nanos, TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            // The stand-in was closed; its tasks are discarded.
            return;
        }
    }

    /** Discards all scheduled tasks; called when the model that scheduled them has crashed. */
    void close() {
        mClosed = true;
    }

    private void run(Runnable task) {
        if (!mClosed) {
            task.run();
        }
    }
}
