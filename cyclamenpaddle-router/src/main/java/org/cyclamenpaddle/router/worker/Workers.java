package org.cyclamenpaddle.router.worker;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * Fixed-size worker pool with timers.
 *
 * <p>Tasks must not block. Whatever a task throws is passed to the failure handler, which stops the
 * process: expected failures are returned as values, so an exception means a broken invariant.
 */
public final class Workers implements Executor, AutoCloseable {

    private final ScheduledThreadPoolExecutor mPool;
    private final Consumer<Throwable> mFailureHandler;

    /**
     * Creates a pool.
     *
     * @param threads number of workers
     * @param failureHandler handles exceptions thrown by tasks
     */
    public Workers(int threads, Consumer<Throwable> failureHandler) {
        AtomicInteger count = new AtomicInteger();
        mFailureHandler = failureHandler;
        mPool =
                new ScheduledThreadPoolExecutor(
                        threads,
                        task -> {
                            Thread thread = new Thread(task, "worker-" + count.incrementAndGet());
                            thread.setDaemon(true);
                            return thread;
                        });
        mPool.setRemoveOnCancelPolicy(true);
    }

    @Override
    public void execute(Runnable task) {
        if (!mPool.isShutdown()) {
            mPool.execute(guarded(task));
        }
    }

    /**
     * Runs a task with the result of a future that by contract never completes exceptionally.
     *
     * <p>An exception thrown in a callback of a future is captured in the dependent future and goes
     * unnoticed, so the process would keep running with a broken invariant. Here it reaches the
     * failure handler.
     */
    public <T> void onResult(CompletableFuture<T> future, Consumer<T> task) {
        future.whenComplete(
                (result, failure) ->
                        execute(
                                () -> {
                                    if (failure != null) {
                                        throw new IllegalStateException(failure);
                                    }
                                    task.accept(result);
                                }));
    }

    /** Runs a task once after a delay in milliseconds. */
    public ScheduledFuture<?> schedule(long delayMillis, Runnable task) {
        return mPool.schedule(guarded(task), delayMillis, TimeUnit.MILLISECONDS);
    }

    /** Runs a task periodically, with a fixed delay in milliseconds between runs. */
    public ScheduledFuture<?> scheduleWithFixedDelay(long periodMillis, Runnable task) {
        return mPool.scheduleWithFixedDelay(
                guarded(task), periodMillis, periodMillis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        mPool.shutdownNow();
    }

    private Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException | Error failure) {
                mFailureHandler.accept(failure);
            }
        };
    }
}
