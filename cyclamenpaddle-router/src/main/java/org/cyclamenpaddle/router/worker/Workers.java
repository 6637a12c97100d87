package org.cyclamenpaddle.router.worker;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * A fixed pool of workers with timers.
 *
 * <p>Work must not block. Whatever a piece of work throws goes to the failure handler, which stops
 * the process: outcomes are values here, so an exception is a broken invariant.
 */
public final class Workers implements Executor, AutoCloseable {

    private final ScheduledThreadPoolExecutor mPool;
    private final Consumer<Throwable> mFailureHandler;

    /**
     * Creates a pool.
     *
     * @param threads number of workers
     * @param failureHandler what to do with an exception that work throws
     */
    public Workers(int threads, Consumer<Throwable> failureHandler) {
        AtomicInteger count = new AtomicInteger();
        mFailureHandler = failureHandler;
        mPool =
                new ScheduledThreadPoolExecutor(
                        threads,
                        work -> {
                            Thread thread = new Thread(work, "worker-" + count.incrementAndGet());
                            thread.setDaemon(true);
                            return thread;
                        });
        mPool.setRemoveOnCancelPolicy(true);
    }

    @Override
    public void execute(Runnable work) {
        if (!mPool.isShutdown()) {
            mPool.execute(guarded(work));
        }
    }

    /**
     * Runs work with the result of a future that never fails by contract.
     *
     * <p>What is thrown in a callback of a future is kept in the next future and seen by nobody; a
     * broken invariant there would leave the process running. Here it reaches the handler.
     */
    public <T> void onResult(CompletableFuture<T> future, Consumer<T> work) {
        future.whenComplete(
                (result, failure) ->
                        execute(
                                () -> {
                                    if (failure != null) {
                                        throw new IllegalStateException(failure);
                                    }
                                    work.accept(result);
                                }));
    }

    /** Runs work once after a delay in milliseconds. */
    public ScheduledFuture<?> schedule(long delayMillis, Runnable work) {
        return mPool.schedule(guarded(work), delayMillis, TimeUnit.MILLISECONDS);
    }

    /** Runs work again and again, with a pause in milliseconds between runs. */
    public ScheduledFuture<?> scheduleWithFixedDelay(long periodMillis, Runnable work) {
        return mPool.scheduleWithFixedDelay(
                guarded(work), periodMillis, periodMillis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        mPool.shutdownNow();
    }

    private Runnable guarded(Runnable work) {
        return () -> {
            try {
                work.run();
            } catch (RuntimeException | Error failure) {
                mFailureHandler.accept(failure);
            }
        };
    }
}
