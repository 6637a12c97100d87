package org.cyclamenpaddle.router.worker;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runs tasks one at a time, in submission order, on an underlying executor.
 *
 * <p>A state machine whose events all pass through one serial executor needs no lock of its own.
 */
public final class SerialExecutor implements Executor {

    private final Executor mExecutor;
    private final Queue<Runnable> mQueue = new ConcurrentLinkedQueue<>();
    private final AtomicInteger mPending = new AtomicInteger();

    /**
     * Creates an executor without tasks.
     *
     * @param executor underlying executor that runs the tasks
     */
    public SerialExecutor(Executor executor) {
        mExecutor = executor;
    }

    @Override
    public void execute(Runnable task) {
        mQueue.add(task);
        if (mPending.getAndIncrement() == 0) {
            mExecutor.execute(this::drain);
        }
    }

    private void drain() {
        do {
            mQueue.remove().run();
        } while (mPending.decrementAndGet() > 0);
    }
}
