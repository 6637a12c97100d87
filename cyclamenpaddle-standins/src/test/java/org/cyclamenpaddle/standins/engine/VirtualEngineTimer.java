package org.cyclamenpaddle.standins.engine;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Timer whose modelled time advances only by {@link #advanceMillis}. */
final class VirtualEngineTimer implements EngineTimer {

    private final PriorityQueue<Task> mTasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(Task::atMicros).thenComparingLong(Task::order));
    private long mNow;
    private long mOrder;

    private record Task(long atMicros, long order, Runnable action) {}

    @Override
    public long micros() {
        return mNow;
    }

    @Override
    public void schedule(long delayMicros, Runnable task) {
        mTasks.add(new Task(mNow + delayMicros, mOrder++, task));
    }

    void advanceMillis(long millis) {
        long until = mNow + millis * 1_000;
        while (!mTasks.isEmpty() && mTasks.peek().atMicros() <= until) {
            Task task = mTasks.remove();
            mNow = task.atMicros();
            task.action().run();
        }
        mNow = until;
    }
}
