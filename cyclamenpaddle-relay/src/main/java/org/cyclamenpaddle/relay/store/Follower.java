package org.cyclamenpaddle.relay.store;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import org.cyclamenpaddle.core.time.Clock;

/**
 * Follows one kind of objects: a listing first, then watches, each from where the last one ended.
 *
 * <p>A watch waits long, so that a quiet store is called seldom. While it waits, cheap checks show
 * whether the store still answers and whether the watch has missed a change. Only the newest call
 * counts: the answer of a watch that was given up is ignored, so that nothing older ever arrives
 * after something newer. All callbacks come on the given executor, which must be a single thread.
 *
 * @param <T> type of what the objects say
 */
public final class Follower<T> {

    /** Longest wait of one watch, in milliseconds. */
    static final long WATCH_MILLIS = 20_000;

    /**
     * Pause between two checks of a waiting watch, in milliseconds.
     *
     * <p>Safeguard: the connection of a watch can go silent for good, and a silent store still
     * takes calls. Either is noticed after this pause and the timeout of one call at the latest.
     */
    static final long CHECK_MILLIS = 2_000;

    /**
     * Pause after an answer with changes, in milliseconds.
     *
     * <p>Changes come in groups: a fleet that starts, servers that are replaced one by one. Without
     * the pause each of them would be a call of each host.
     */
    static final long SETTLE_MILLIS = 500;

    /**
     * Wait of a watch after a failed call, in milliseconds.
     *
     * <p>Safeguard: a watch that is begun on a silent store hangs for its whole time, long after
     * the store is back. A call that asks for what there is, and no more, ends or is given up
     * within a second.
     */
    static final long NO_WAIT_MILLIS = 0;

    /** Least wait after the first failed call, in milliseconds; it doubles with each further. */
    static final long LEAST_PAUSE_MILLIS = 100;

    /** Largest of the least waits after failed calls, in milliseconds. */
    static final long MOST_PAUSE_MILLIS = 400;

    private final EntrySource<T> mSource;
    private final EntryListener<T> mListener;
    private final ScheduledExecutorService mExecutor;
    private final Clock mClock;
    private final DoubleSupplier mRandom;
    private final List<Entry<T>> mListing = new ArrayList<>();
    private long mRevision;
    private long mStep;
    private int mFailures;
    private Optional<Long> mLostAtMillis = Optional.empty();

    /**
     * Creates a follower; {@link #start} begins.
     *
     * @param source where the objects are
     * @param listener told what is learned
     * @param executor a single thread
     * @param clock this host's clock
     * @param random even draws from 0 to 1
     */
    public Follower(
            EntrySource<T> source,
            EntryListener<T> listener,
            ScheduledExecutorService executor,
            Clock clock,
            DoubleSupplier random) {
        mSource = source;
        mListener = listener;
        mExecutor = executor;
        mClock = clock;
        mRandom = random;
    }

    /** Begins with a listing. */
    public void start() {
        mExecutor.execute(this::list);
    }

    private void list() {
        mListing.clear();
        list(Optional.empty());
    }

    private void list(Optional<String> after) {
        call(mSource.list(after), this::listed, failure -> retry(this::list));
    }

    private void listed(EntryPage<T> page) {
        if (mListing.isEmpty()) {
            // What changes while later pages are read may lie on an earlier page: watches begin
            // at the first.
            mRevision = page.revision();
        }
        mListing.addAll(page.entries());
        if (page.more() && !page.entries().isEmpty()) {
            list(Optional.of(page.entries().get(page.entries().size() - 1).name()));
            return;
        }
        mListener.onListing(List.copyOf(mListing));
        mListing.clear();
        watch();
    }

    private void watch() {
        boolean lost = mLostAtMillis.isPresent();
        call(
                mSource.watch(mRevision, lost ? NO_WAIT_MILLIS : WATCH_MILLIS),
                this::watched,
                this::watchFailed);
        if (!lost) {
            checkLater(mStep);
        }
    }

    private void watched(EntryPage<T> page) {
        boolean changed = take(page);
        if (changed) {
            next(this::watch, SETTLE_MILLIS);
        } else {
            watch();
        }
    }

    private void watchFailed(StoreFailure failure) {
        retry(failure == StoreFailure.HISTORY_GONE ? this::list : this::watch);
    }

    private void checkLater(long step) {
        mExecutor.schedule(() -> check(step), CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Checks on the watch of a step, if that still waits. */
    private void check(long step) {
        if (step == mStep) {
            mSource.recentChanges(mRevision)
                    .thenAcceptAsync(result -> checked(step, result), mExecutor);
        }
    }

    private void checked(long step, Either<StoreFailure, EntryPage<T>> result) {
        if (step != mStep) {
            return;
        }
        if (result.isLeft()) {
            mStep++;
            failed(result.getLeft());
            watchFailed(result.getLeft());
        } else if (take(result.get())) {
            watch();
        } else {
            checkLater(step);
        }
    }

    /** Takes changes in and returns whether there were any. */
    private boolean take(EntryPage<T> page) {
        mRevision = Math.max(mRevision, page.revision());
        page.entries().forEach(mListener::onChange);
        return !page.entries().isEmpty();
    }

    /** Makes the call that counts from now on. */
    private void call(
            CompletableFuture<Either<StoreFailure, EntryPage<T>>> call,
            Consumer<EntryPage<T>> success,
            Consumer<StoreFailure> failure) {
        long step = ++mStep;
        call.thenAcceptAsync(
                result -> {
                    if (step != mStep) {
                        return;
                    }
                    result.peekLeft(this::failed);
                    result.peek(page -> succeeded());
                    if (result.isRight()) {
                        success.accept(result.get());
                    } else {
                        failure.accept(result.getLeft());
                    }
                },
                mExecutor);
    }

    private void failed(StoreFailure failure) {
        if (failure == StoreFailure.HISTORY_GONE) {
            succeeded();
            return;
        }
        mFailures++;
        if (mLostAtMillis.isEmpty()) {
            mLostAtMillis = Optional.of(mClock.millis());
            mListener.onStoreUnavailable(failure);
        }
    }

    private void succeeded() {
        mFailures = 0;
        Optional<Long> lost = mLostAtMillis;
        mLostAtMillis = Optional.empty();
        lost.ifPresent(at -> mListener.onStoreAvailable(mClock.millis() - at));
    }

    /**
     * Goes on after a failed call.
     *
     * <p>Safeguard: when the store comes back all hosts call at once and are turned away for their
     * rate. Waits that grow and are spread evenly keep hundreds of hosts under its rate.
     */
    private void retry(Runnable work) {
        int doublings = Math.min(Math.max(0, mFailures - 1), Long.SIZE / 2);
        long least = Math.min(LEAST_PAUSE_MILLIS << doublings, MOST_PAUSE_MILLIS);
        next(work, least + (long) (mRandom.getAsDouble() * least));
    }

    /** Schedules what comes next, unless another call is made before. */
    private void next(Runnable work, long millis) {
        long step = ++mStep;
        mExecutor.schedule(
                () -> {
                    if (step == mStep) {
                        work.run();
                    }
                },
                millis,
                TimeUnit.MILLISECONDS);
    }
}
