package org.cyclamenpaddle.relay.store;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.Delayed;
import java.util.concurrent.FutureTask;
import java.util.concurrent.RunnableScheduledFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.cyclamenpaddle.core.time.VirtualClock;

/**
 * Single-threaded executor in virtual time: advancing the time runs due tasks in order of their
 * times.
 */
public final class VirtualExecutor extends AbstractExecutorService
        implements ScheduledExecutorService {

    private final class Task<V> extends FutureTask<V> implements RunnableScheduledFuture<V> {

        private final long mDueMillis;
        private final long mSequence;

        Task(Callable<V> work, long delayMillis) {
            super(work);
            mDueMillis = mClock.millis() + delayMillis;
            mSequence = mTasks++;
        }

        @Override
        public long getDelay(TimeUnit unit) {
            return unit.convert(mDueMillis - mClock.millis(), TimeUnit.MILLISECONDS);
        }

        @Override
        public int compareTo(Delayed other) {
            return Long.compare(
                    getDelay(TimeUnit.MILLISECONDS), other.getDelay(TimeUnit.MILLISECONDS));
        }

        @Override
        public boolean isPeriodic() {
            return false;
        }
    }

    private final VirtualClock mClock;
    private final PriorityQueue<Task<?>> mQueue =
            new PriorityQueue<>(
                    Comparator.<Task<?>>comparingLong(task -> task.mDueMillis)
                            .thenComparingLong(task -> task.mSequence));
    private long mTasks;

    public VirtualExecutor(VirtualClock clock) {
        mClock = clock;
    }

    /** Advances the time and runs the tasks that become due. */
    public void advance(long millis) {
        long until = mClock.millis() + millis;
        while (!mQueue.isEmpty() && mQueue.peek().mDueMillis <= until) {
            Task<?> task = mQueue.poll();
            mClock.advance(Math.max(0, task.mDueMillis - mClock.millis()));
            task.run();
        }
        mClock.advance(until - mClock.millis());
    }

    @Override
    public void execute(Runnable work) {
        schedule(work, 0, TimeUnit.MILLISECONDS);
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable work, long delay, TimeUnit unit) {
        return schedule(
                () -> {
                    work.run();
                    return null;
                },
                delay,
                unit);
    }

    @Override
    public <V> ScheduledFuture<V> schedule(Callable<V> work, long delay, TimeUnit unit) {
        Task<V> task = new Task<>(work, unit.toMillis(delay));
        mQueue.add(task);
        return task;
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(
            Runnable work, long first, long period, TimeUnit unit) {
        throw new UnsupportedOperationException("not needed by any test");
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(
            Runnable work, long first, long pause, TimeUnit unit) {
        throw new UnsupportedOperationException("not needed by any test");
    }

    @Override
    public void shutdown() {
        mQueue.clear();
    }

    @Override
    public List<Runnable> shutdownNow() {
        List<Runnable> left = new ArrayList<>(mQueue);
        mQueue.clear();
        return left;
    }

    @Override
    public boolean isShutdown() {
        return false;
    }

    @Override
    public boolean isTerminated() {
        return false;
    }

    @Override
    public boolean awaitTermination(long timeout, TimeUnit unit) {
        return true;
    }
}
