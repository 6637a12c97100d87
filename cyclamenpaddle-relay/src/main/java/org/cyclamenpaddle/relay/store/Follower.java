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
 * Follows one kind of objects: a listing first, then watches, each from the last known revision.
 *
 * <p>A watch waits long, so an idle store receives few calls. While it waits, inexpensive checks
 * show whether the store still responds and whether the watch has missed a change. Only the latest
 * call counts: the response of an abandoned watch is ignored, so older state never arrives after
 * newer state. All callbacks run on the given executor, which must be a single thread.
 *
 * @param <T> type of the objects' content
 */
public final class Follower<T> {

    /** Maximum wait of one watch, in milliseconds. */
    static final long WATCH_TIMEOUT_MILLIS = 20_000;

    /**
     * Interval between two checks of a waiting watch, in milliseconds.
     *
     * <p>Safeguard: the connection of a watch can become permanently silent, and an unresponsive
     * store still accepts calls. Either is detected within this interval plus the timeout of one
     * call.
     */
    static final long CHECK_INTERVAL_MILLIS = 2_000;

    /**
     * Pause after a response with changes, in milliseconds.
     *
     * <p>Changes come in groups: a deployment that starts, or servers that are replaced one by one.
     * Without this pause each of them would cause a call by each host.
     */
    static final long COALESCING_PAUSE_MILLIS = 500;

    /**
     * Wait of a watch after a failed call, in milliseconds.
     *
     * <p>Safeguard: a watch that is started on an unresponsive store hangs for its full wait, long
     * after the store has recovered. A call without a wait completes or times out within a second.
     */
    static final long NO_WAIT_MILLIS = 0;

    /**
     * Minimum backoff after the first failed call, in milliseconds; doubles with each further
     * failure.
     */
    static final long BASE_BACKOFF_MILLIS = 100;

    /** Limit on the minimum backoff after failed calls, in milliseconds. */
    static final long MAX_BACKOFF_MILLIS = 400;

    private final EntrySource<T> mSource;
    private final EntryListener<T> mListener;
    private final ScheduledExecutorService mExecutor;
    private final Clock mClock;
    private final DoubleSupplier mRandom;
    private final List<StoreEntry<T>> mListing = new ArrayList<>();
    private long mRevision;
    private long mSequence;
    private int mFailures;
    private Optional<Failing> mFailing = Optional.empty();

    /**
     * Calls that have failed since the last successful one.
     *
     * @param first reason of the first failure
     * @param sinceMillis time of the first failure
     * @param outage whether they show that the store cannot be reached
     */
    private record Failing(StoreFailure first, long sinceMillis, boolean outage) {}

    /**
     * Creates a follower; {@link #start} starts it.
     *
     * @param source source of the objects
     * @param listener receives listings and changes
     * @param executor a single thread
     * @param clock clock of this host
     * @param random uniformly distributed values from 0 to 1
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

    /** Starts with a listing. */
    public void start() {
        mExecutor.execute(this::list);
    }

    private void list() {
        mListing.clear();
        list(Optional.empty());
    }

    private void list(Optional<String> after) {
        call(
                mSource.list(after),
                this::handlePage,
                failure -> {
                    recordFailure(failure, true);
                    retry(this::list);
                });
    }

    private void handlePage(EntryPage<T> page) {
        if (mListing.isEmpty()) {
            // Objects on earlier pages may change while later pages are read, so watches start at
            // the revision of the first page.
            mRevision = page.revision();
        }
        mListing.addAll(page.entries());
        if (page.more() && page.lastName().isEmpty()) {
            // What follows cannot be read. Ended here, the listing would remove all of it.
            schedule(this::list, CHECK_INTERVAL_MILLIS);
            return;
        }
        if (page.more()) {
            list(page.lastName());
            return;
        }
        mListener.onListing(List.copyOf(mListing));
        mListing.clear();
        watch();
    }

    private void watch() {
        if (mFailing.isPresent()) {
            call(
                    mSource.watch(mRevision, NO_WAIT_MILLIS),
                    this::handleWatchResult,
                    this::handleWatchFailure);
        } else {
            call(
                    mSource.watch(mRevision, WATCH_TIMEOUT_MILLIS),
                    this::handleWatchResult,
                    this::handleWaitFailure);
            scheduleCheck(mSequence);
        }
    }

    private void handleWatchResult(EntryPage<T> page) {
        boolean changed = applyChanges(page);
        if (changed) {
            schedule(this::watch, COALESCING_PAUSE_MILLIS);
        } else {
            watch();
        }
    }

    /**
     * Handles the failure of a watch that was waiting.
     *
     * <p>The store may cut off such a watch at any time. Only a further call, which does not wait,
     * shows whether the store has become unavailable.
     */
    private void handleWaitFailure(StoreFailure failure) {
        recordFailure(failure, false);
        retryWatch(failure);
    }

    private void handleWatchFailure(StoreFailure failure) {
        recordFailure(failure, true);
        retryWatch(failure);
    }

    private void retryWatch(StoreFailure failure) {
        retry(failure == StoreFailure.HISTORY_GONE ? this::list : this::watch);
    }

    private void scheduleCheck(long sequence) {
        mExecutor.schedule(() -> check(sequence), CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Checks the watch with the given sequence number if it is still waiting. */
    private void check(long sequence) {
        if (sequence == mSequence) {
            long sentMillis = mClock.millis();
            mSource.recentChanges(mRevision)
                    .thenAcceptAsync(
                            result -> handleCheckResult(sequence, sentMillis, result), mExecutor);
        }
    }

    private void handleCheckResult(
            long sequence, long sentMillis, Either<StoreFailure, EntryPage<T>> result) {
        if (sequence != mSequence) {
            return;
        }
        result.peek(page -> mListener.onStoreAnswer(sentMillis));
        if (result.isLeft()) {
            mSequence++;
            handleWatchFailure(result.getLeft());
        } else if (applyChanges(result.get())) {
            watch();
        } else {
            scheduleCheck(sequence);
        }
    }

    /** Applies changes and returns whether there were any. */
    private boolean applyChanges(EntryPage<T> page) {
        mRevision = Math.max(mRevision, page.revision());
        page.entries().forEach(mListener::onChange);
        return !page.entries().isEmpty();
    }

    /** Makes a call that supersedes all earlier ones. */
    private void call(
            CompletableFuture<Either<StoreFailure, EntryPage<T>>> call,
            Consumer<EntryPage<T>> success,
            Consumer<StoreFailure> failure) {
        long sequence = ++mSequence;
        long sentMillis = mClock.millis();
        call.thenAcceptAsync(
                result -> {
                    if (sequence != mSequence) {
                        return;
                    }
                    result.peek(
                            page -> {
                                mListener.onStoreAnswer(sentMillis);
                                recordSuccess();
                            });
                    if (result.isRight()) {
                        success.accept(result.get());
                    } else {
                        failure.accept(result.getLeft());
                    }
                },
                mExecutor);
    }

    private void recordFailure(StoreFailure failure, boolean outage) {
        if (failure == StoreFailure.HISTORY_GONE) {
            recordSuccess();
            return;
        }
        mFailures++;
        Failing before = mFailing.orElseGet(() -> new Failing(failure, mClock.millis(), false));
        mFailing =
                Optional.of(
                        new Failing(
                                before.first(), before.sinceMillis(), before.outage() || outage));
        if (outage && !before.outage()) {
            mListener.onStoreUnavailable(before.first());
        }
    }

    private void recordSuccess() {
        mFailures = 0;
        Optional<Failing> failing = mFailing;
        mFailing = Optional.empty();
        failing.filter(Failing::outage)
                .ifPresent(
                        calls -> mListener.onStoreAvailable(mClock.millis() - calls.sinceMillis()));
    }

    /**
     * Schedules a retry after a failed call.
     *
     * <p>Safeguard: when the store recovers, all hosts call at once and are rejected because of its
     * rate limit. Exponential backoff with jitter keeps hundreds of hosts below that limit.
     */
    private void retry(Runnable work) {
        int doublings = Math.min(Math.max(0, mFailures - 1), Long.SIZE / 2);
        long baseMillis = Math.min(BASE_BACKOFF_MILLIS << doublings, MAX_BACKOFF_MILLIS);
        schedule(work, baseMillis + (long) (mRandom.getAsDouble() * baseMillis));
    }

    /** Schedules the next call, unless another call is made before. */
    private void schedule(Runnable work, long millis) {
        long sequence = ++mSequence;
        mExecutor.schedule(
                () -> {
                    if (sequence == mSequence) {
                        work.run();
                    }
                },
                millis,
                TimeUnit.MILLISECONDS);
    }
}
