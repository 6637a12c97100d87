package org.cyclamenpaddle.relay.store;

import static org.testng.Assert.assertEquals;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/** Tests how {@link Follower} goes on after everything that a store can do to it. */
public class FollowerTest {

    private final ScheduledExecutorService mExecutor = Executors.newSingleThreadScheduledExecutor();

    @AfterMethod
    public void cleanUp() {
        mCalls.clear();
        mTold.clear();
        mWaits.clear();
    }

    private final List<String> mCalls = new ArrayList<>();
    private final List<String> mTold = new ArrayList<>();
    private final List<Long> mWaits = new ArrayList<>();

    private static EntryPage<String> page(long revision, boolean more, String... names) {
        return new EntryPage<>(
                List.of(names).stream().map(n -> new Entry<>(n, Either.right(n))).toList(),
                revision,
                more);
    }

    /** Plays answers in turn; the last call stays open and ends the test. */
    private List<String> follow(List<Either<StoreFailure, EntryPage<String>>> answers)
            throws InterruptedException {
        Deque<Either<StoreFailure, EntryPage<String>>> left = new ArrayDeque<>(answers);
        CountDownLatch done = new CountDownLatch(1);
        Function<String, CompletableFuture<Either<StoreFailure, EntryPage<String>>>> answer =
                call -> {
                    mCalls.add(call);
                    if (left.isEmpty()) {
                        done.countDown();
                        return new CompletableFuture<>();
                    }
                    return CompletableFuture.completedFuture(left.poll());
                };
        EntrySource<String> source =
                new EntrySource<>() {
                    @Override
                    public CompletableFuture<Either<StoreFailure, EntryPage<String>>> list(
                            Optional<String> after) {
                        return answer.apply("list " + after.orElse("-"));
                    }

                    @Override
                    public CompletableFuture<Either<StoreFailure, EntryPage<String>>> watch(
                            long revision, long waitMillis) {
                        mWaits.add(waitMillis);
                        return answer.apply("watch " + revision);
                    }

                    @Override
                    public CompletableFuture<Either<StoreFailure, EntryPage<String>>> recentChanges(
                            long revision) {
                        return new CompletableFuture<>();
                    }
                };
        new Follower<>(source, listener(), mExecutor, () -> 0, () -> 0).start();
        assertEquals(done.await(20, TimeUnit.SECONDS), true, "calls: " + mCalls);
        return mCalls;
    }

    private EntryListener<String> listener() {
        return new EntryListener<>() {
            @Override
            public void onListing(List<Entry<String>> entries) {
                mTold.add("listed " + entries.size());
            }

            @Override
            public void onChange(Entry<String> entry) {
                mTold.add("changed " + entry.name());
            }

            @Override
            public void onStoreUnavailable(StoreFailure failure) {
                mTold.add("lost " + failure);
            }

            @Override
            public void onStoreAvailable(long awayMillis) {
                mTold.add("regained");
            }
        };
    }

    /**
     * While the second page is read, an entry of the first one changes. The watch starts from the
     * first page's revision, or that change would never be heard of.
     */
    @Test
    public void listingOfSeveralPagesIsWatchedFromItsFirst() throws InterruptedException {
        assertEquals(
                follow(
                        List.of(
                                Either.right(page(5, true, "a", "b")),
                                Either.right(page(9, false, "c")))),
                List.of("list -", "list b", "watch 5"));
        assertEquals(mTold, List.of("listed 3"));
    }

    @Test
    public void watchGoesOnFromWhereItEnded() throws InterruptedException {
        assertEquals(
                follow(
                        List.of(
                                Either.right(page(5, false)),
                                Either.right(page(7, false, "x")),
                                Either.left(StoreFailure.NO_ANSWER),
                                Either.left(StoreFailure.TURNED_AWAY),
                                Either.right(page(8, false, "y")))),
                List.of("list -", "watch 5", "watch 7", "watch 7", "watch 7", "watch 8"));
        assertEquals(
                mTold, List.of("listed 0", "changed x", "lost NO_ANSWER", "regained", "changed y"));
    }

    /**
     * The store falls silent for three seconds, but goes on taking calls. A long watch begun in
     * that time would hang for five, and requests would still be handled by the configuration of
     * before when the store had long been back. Until a call succeeds, none waits for changes.
     */
    @Test
    public void callsAfterAFailureDoNotWait() throws InterruptedException {
        follow(
                List.of(
                        Either.right(page(5, false)),
                        Either.left(StoreFailure.NO_ANSWER),
                        Either.left(StoreFailure.NO_ANSWER),
                        Either.right(page(7, false, "x"))));
        assertEquals(
                mWaits,
                List.of(
                        Follower.WATCH_MILLIS,
                        Follower.NO_WAIT_MILLIS,
                        Follower.NO_WAIT_MILLIS,
                        Follower.WATCH_MILLIS));
    }

    @Test
    public void forgottenHistoryMeansAListing() throws InterruptedException {
        assertEquals(
                follow(
                        List.of(
                                Either.right(page(5, false)),
                                Either.left(StoreFailure.HISTORY_GONE),
                                Either.right(page(20, false, "z")))),
                List.of("list -", "watch 5", "list -", "watch 20"));
        assertEquals(mTold, List.of("listed 0", "listed 1"));
    }
}
