package org.cyclamenpaddle.router.worker;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runs work in the order given, one piece at a time, on another executor.
 *
 * <p>A state machine that is fed through one of these needs no lock of its own.
 */
public final class SerialExecutor implements Executor {

    private final Executor mExecutor;
    private final Queue<Runnable> mQueue = new ConcurrentLinkedQueue<>();
    private final AtomicInteger mPending = new AtomicInteger();

    /**
     * Creates an executor without work.
     *
     * @param executor runs the work
     */
    public SerialExecutor(Executor executor) {
        mExecutor = executor;
    }

    @Override
    public void execute(Runnable work) {
        mQueue.add(work);
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
