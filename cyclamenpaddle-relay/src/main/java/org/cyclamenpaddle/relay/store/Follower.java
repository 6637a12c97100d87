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
 * <p>Calls run one after another, so that nothing older ever arrives after something newer. All
 * callbacks come on the given executor, which must be a single thread.
 *
 * @param <T> type of what the objects say
 */
public final class Follower<T> {

    /**
     * Longest wait of one watch, in milliseconds.
     *
     * <p>Safeguard: a watch can hang for good when something between the two ends has lost its
     * connection; nothing would be learned any more. The call's own timeout ends it, and this is
     * the larger part of that: three seconds with it, after which hosts are expected to have caught
     * up with a store that came back. It costs a call in two seconds for each kind.
     */
    static final long WATCH_MILLIS = 2_000;

    /**
     * Wait of a watch after a failed call, in milliseconds.
     *
     * <p>Safeguard: a store that is silent still takes calls. A watch that is begun then hangs for
     * its whole time, long after the store is back, and the host misses what changed meanwhile. A
     * call that asks for what there is, and no more, ends or is given up within a second.
     */
    static final long NO_WAIT_MILLIS = 0;

    /** Least wait after a failed call, in milliseconds. */
    static final long LEAST_PAUSE_MILLIS = 100;

    /**
     * Spread of that wait, in milliseconds.
     *
     * <p>Safeguard: when the store comes back all hosts call at once and are turned away for their
     * rate. An even spread keeps a hundred hosts under a few hundred calls a second.
     */
    static final long PAUSE_SPREAD_MILLIS = 300;

    private final EntrySource<T> mSource;
    private final EntryListener<T> mListener;
    private final ScheduledExecutorService mExecutor;
    private final Clock mClock;
    private final DoubleSupplier mRandom;
    private final List<Entry<T>> mListing = new ArrayList<>();
    private long mListingRevision;
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
        mExecutor.execute(() -> list(Optional.empty()));
    }

    private void list(Optional<String> after) {
        if (after.isEmpty()) {
            mListing.clear();
        }
        on(mSource.list(after), this::listed, failure -> later(() -> list(Optional.empty())));
    }

    private void listed(EntryPage<T> page) {
        if (mListing.isEmpty()) {
            mListingRevision = page.revision();
        }
        mListing.addAll(page.entries());
        if (page.more() && !page.entries().isEmpty()) {
            list(Optional.of(page.entries().get(page.entries().size() - 1).name()));
            return;
        }
        mListener.listed(List.copyOf(mListing));
        mListing.clear();
        // What changed while later pages were read may lie on an earlier page: watch from the
        // first.
        watch(mListingRevision);
    }

    private void watch(long revision) {
        on(
                mSource.watch(revision, mLostAtMillis.isPresent() ? NO_WAIT_MILLIS : WATCH_MILLIS),
                page -> {
                    page.entries().forEach(mListener::changed);
                    watch(Math.max(revision, page.revision()));
                },
                failure -> {
                    boolean list = failure == StoreFailure.HISTORY_GONE;
                    later(() -> goOn(list, revision));
                });
    }

    private void goOn(boolean list, long revision) {
        if (list) {
            list(Optional.empty());
        } else {
            watch(revision);
        }
    }

    private void on(
            CompletableFuture<Either<StoreFailure, EntryPage<T>>> call,
            Consumer<EntryPage<T>> success,
            Consumer<StoreFailure> failure) {
        call.thenAcceptAsync(
                result -> {
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
        } else if (mLostAtMillis.isEmpty()) {
            mLostAtMillis = Optional.of(mClock.millis());
            mListener.contactLost(failure);
        }
    }

    private void succeeded() {
        Optional<Long> lost = mLostAtMillis;
        mLostAtMillis = Optional.empty();
        lost.ifPresent(at -> mListener.contactRegained(mClock.millis() - at));
    }

    private void later(Runnable work) {
        long pause = LEAST_PAUSE_MILLIS + (long) (mRandom.getAsDouble() * PAUSE_SPREAD_MILLIS);
        mExecutor.schedule(work, pause, TimeUnit.MILLISECONDS);
    }
}
