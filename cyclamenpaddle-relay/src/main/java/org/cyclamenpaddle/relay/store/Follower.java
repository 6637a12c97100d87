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
 * <p>A watch that has not been answered at its end is replaced by a call that does not wait, over a
 * new connection. While it waits, inexpensive checks show whether the store still responds. They
 * may be outdated, so they never confirm anything; one that has changes ends the watch early. Only
 * the latest call counts: the response of an abandoned watch is ignored, so older state never
 * arrives after newer state. All callbacks run on the given executor, which must be a single
 * thread.
 *
 * @param <T> type of the objects' content
 */
public final class Follower<T> {

    /**
     * Wait of a watch that must show by itself that its connection has become silent, in
     * milliseconds.
     *
     * <p>Safeguard: open connections can become silent without being closed, and no change arrives
     * until the watch is replaced. Hosts have three seconds for that.
     */
    public static final long SHORT_WATCH_MILLIS = 2_600;

    /** Wait of a watch that is also replaced when another one is found silent. */
    public static final long LONG_WATCH_MILLIS = 20_000;

    /**
     * Interval between two checks of a waiting watch, in milliseconds.
     *
     * <p>Safeguard: an unresponsive store still accepts calls. It is detected within this interval
     * plus the timeout of one call.
     */
    static final long CHECK_INTERVAL_MILLIS = 2_000;

    /** Time after the end of its wait at which a watch without an answer is replaced. */
    static final long OVERDUE_MILLIS = 200;

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
    private final long mWaitMillis;
    private final Runnable mOnSilence;
    private final ScheduledExecutorService mExecutor;
    private final Clock mClock;
    private final DoubleSupplier mRandom;
    private final List<StoreEntry<T>> mListing = new ArrayList<>();
    private long mRevision;
    private long mSequence;
    private boolean mWatching;
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
     * @param waitMillis maximum wait of one watch, in milliseconds
     * @param onSilence run when a watch has not been answered at its end
     * @param executor a single thread
     * @param clock clock of this host
     * @param random uniformly distributed values from 0 to 1
     */
    public Follower(
            EntrySource<T> source,
            EntryListener<T> listener,
            long waitMillis,
            Runnable onSilence,
            ScheduledExecutorService executor,
            Clock clock,
            DoubleSupplier random) {
        mSource = source;
        mListener = listener;
        mWaitMillis = waitMillis;
        mOnSilence = onSilence;
        mExecutor = executor;
        mClock = clock;
        mRandom = random;
    }

    /** Starts with a listing. */
    public void start() {
        mExecutor.execute(this::list);
    }

    /** Replaces the watch that waits, since its connection may have become silent. */
    public void renew() {
        mExecutor.execute(
                () -> {
                    if (mWatching) {
                        watchWithoutWait();
                    }
                });
    }

    private void list() {
        mListing.clear();
        list(Optional.empty());
    }

    private void list(Optional<String> after) {
        call(
                mSource.list(after),
                NO_WAIT_MILLIS,
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
            watchWithoutWait();
            return;
        }
        call(
                mSource.watch(mRevision, mWaitMillis),
                mWaitMillis,
                this::handleWatchResult,
                this::handleWaitFailure);
        mWatching = true;
        long sequence = mSequence;
        scheduleCheck(sequence);
        whileLatest(sequence, this::replaceSilent, mWaitMillis + OVERDUE_MILLIS);
    }

    private void replaceSilent() {
        watchWithoutWait();
        mOnSilence.run();
    }

    private void watchWithoutWait() {
        call(
                mSource.watch(mRevision, NO_WAIT_MILLIS),
                NO_WAIT_MILLIS,
                this::handleWatchResult,
                this::handleWatchFailure);
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
        whileLatest(sequence, () -> check(sequence), CHECK_INTERVAL_MILLIS);
    }

    private void check(long sequence) {
        mSource.recentChanges(mRevision)
                .thenAcceptAsync(result -> handleCheckResult(sequence, result), mExecutor);
    }

    private void handleCheckResult(long sequence, Either<StoreFailure, EntryPage<T>> result) {
        if (sequence != mSequence) {
            return;
        }
        if (result.isLeft()) {
            mSequence++;
            mWatching = false;
            handleWatchFailure(result.getLeft());
        } else if (result.get().entries().isEmpty()) {
            scheduleCheck(sequence);
        } else {
            watchWithoutWait();
        }
    }

    /** Applies changes and returns whether there were any. */
    private boolean applyChanges(EntryPage<T> page) {
        mRevision = Math.max(mRevision, page.revision());
        page.entries().forEach(mListener::onChange);
        return !page.entries().isEmpty();
    }

    /**
     * Makes a call that supersedes all earlier ones.
     *
     * @param waitMillis time for which the store holds back an answer without entries
     */
    private void call(
            CompletableFuture<Either<StoreFailure, EntryPage<T>>> call,
            long waitMillis,
            Consumer<EntryPage<T>> success,
            Consumer<StoreFailure> failure) {
        long sequence = ++mSequence;
        mWatching = false;
        long sentMillis = mClock.millis();
        call.thenAcceptAsync(
                result -> {
                    if (sequence != mSequence) {
                        return;
                    }
                    result.peek(
                            page -> {
                                mListener.onStoreAnswer(asOfMillis(page, sentMillis, waitMillis));
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

    /** Returns the earliest time at which the store can have given an answer that arrives now. */
    private long asOfMillis(EntryPage<T> page, long sentMillis, long waitMillis) {
        boolean heldBack = page.entries().isEmpty() && mClock.millis() - sentMillis >= waitMillis;
        return heldBack ? sentMillis + waitMillis : sentMillis;
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
        whileLatest(++mSequence, work, millis);
    }

    /** Runs work later, unless the sequence has gone on by then. */
    private void whileLatest(long sequence, Runnable work, long millis) {
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
