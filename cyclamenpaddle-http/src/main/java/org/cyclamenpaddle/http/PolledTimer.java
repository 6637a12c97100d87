package org.cyclamenpaddle.http;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Timer for what has not arrived in time, which is not mistaken if its event loop is late.
 *
 * <p>An event loop runs the tasks that are due before it polls its channels again. After a delay of
 * the loop, a plain timer therefore runs while the data that it waits for is there and not yet
 * read. The task of this timer runs after the loop has polled its channels once more.
 */
public final class PolledTimer {

    /** Delay after which a task runs in a later iteration of its event loop than now. */
    private static final long NEXT_ITERATION_MILLIS = 1;

    private final EventExecutor mLoop;
    private final Runnable mTask;
    private final long mDueNanos;
    private Future<?> mScheduled;

    private PolledTimer(EventExecutor loop, Runnable task, long millis) {
        mLoop = loop;
        mTask = task;
        mDueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /**
     * Starts a timer.
     *
     * @param loop event loop that polls the channels and runs the task; the current thread is its
     *     own
     * @param task run after the time
     * @param millis time, in milliseconds
     */
    public static PolledTimer start(EventExecutor loop, Runnable task, long millis) {
        PolledTimer timer = new PolledTimer(loop, task, millis);
        timer.mScheduled = loop.schedule(timer::poll, millis, TimeUnit.MILLISECONDS);
        return timer;
    }

    private void poll() {
        mScheduled = mLoop.schedule(mTask, NEXT_ITERATION_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns how long ago the timer was due, in milliseconds; 0 before. */
    public long lateMillis() {
        return Math.max(0, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mDueNanos));
    }

    /** Stops the timer, on its event loop. */
    public void cancel() {
        mScheduled.cancel(false);
    }
}
