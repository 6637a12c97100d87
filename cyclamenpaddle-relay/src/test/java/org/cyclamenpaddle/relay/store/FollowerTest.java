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
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests how {@link Follower} continues after every kind of store response. */
public class FollowerTest {

    private static final long WAIT_MILLIS = 20_000;

    private ScheduledExecutorService mExecutor;

    @BeforeMethod
    public void setUp() {
        mExecutor = Executors.newSingleThreadScheduledExecutor();
    }

    @AfterMethod
    public void cleanUp() {
        mExecutor.shutdownNow();
        mCalls.clear();
        mEvents.clear();
        mWaits.clear();
    }

    private final List<String> mCalls = new ArrayList<>();
    private final List<String> mEvents = new ArrayList<>();
    private final List<Long> mWaits = new ArrayList<>();

    private static EntryPage<String> page(long revision, boolean more, String... names) {
        return new EntryPage<>(
                List.of(names).stream().map(n -> new StoreEntry<>(n, Either.right(n))).toList(),
                revision,
                more);
    }

    /** Replays responses in order; the last call stays pending and ends the test. */
    private List<String> follow(List<Either<StoreFailure, EntryPage<String>>> responses)
            throws InterruptedException {
        Deque<Either<StoreFailure, EntryPage<String>>> remaining = new ArrayDeque<>(responses);
        CountDownLatch done = new CountDownLatch(1);
        Function<String, CompletableFuture<Either<StoreFailure, EntryPage<String>>>> response =
                call -> {
                    mCalls.add(call);
                    if (remaining.isEmpty()) {
                        done.countDown();
                        return new CompletableFuture<>();
                    }
                    return CompletableFuture.completedFuture(remaining.poll());
                };
        EntrySource<String> source =
                new EntrySource<>() {
                    @Override
                    public CompletableFuture<Either<StoreFailure, EntryPage<String>>> list(
                            Optional<String> after) {
                        return response.apply("list " + after.orElse("-"));
                    }

                    @Override
                    public CompletableFuture<Either<StoreFailure, EntryPage<String>>> watch(
                            long revision, long waitMillis) {
                        mWaits.add(waitMillis);
                        return response.apply("watch " + revision);
                    }

                    @Override
                    public CompletableFuture<Either<StoreFailure, EntryPage<String>>> recentChanges(
                            long revision) {
                        return new CompletableFuture<>();
                    }
                };
        new Follower<>(source, listener(), WAIT_MILLIS, () -> {}, mExecutor, () -> 0, () -> 0)
                .start();
        assertEquals(done.await(20, TimeUnit.SECONDS), true, "calls: " + mCalls);
        return mCalls;
    }

    private EntryListener<String> listener() {
        return new EntryListener<>() {
            @Override
            public void onListing(List<StoreEntry<String>> entries) {
                mEvents.add("listed " + entries.size());
            }

            @Override
            public void onChange(StoreEntry<String> entry) {
                mEvents.add("changed " + entry.name());
            }

            @Override
            public void onStoreUnavailable(StoreFailure failure) {
                mEvents.add("lost " + failure);
            }

            @Override
            public void onStoreAvailable(long unavailableMillis) {
                mEvents.add("regained");
            }
        };
    }

    /**
     * While the second page is read, an entry of the first page changes. The watch must start at
     * the first page's revision, otherwise the change is never received.
     */
    @Test
    public void multiPageListingIsWatchedFromFirstPageRevision() throws InterruptedException {
        assertEquals(
                follow(
                        List.of(
                                Either.right(page(5, true, "a", "b")),
                                Either.right(page(9, false, "c")))),
                List.of("list -", "list b", "watch 5"));
        assertEquals(mEvents, List.of("listed 3"));
    }

    /**
     * Failure: none of the entries on a page has a name, and the entries of all later pages count
     * as removed.
     */
    @Test
    public void pageWithoutNamesDoesNotEndTheListing() throws InterruptedException {
        assertEquals(
                follow(
                        List.of(
                                Either.right(page(5, true, "a")),
                                Either.right(page(6, true)),
                                Either.right(page(7, true, "a")),
                                Either.right(page(8, false, "b")))),
                List.of("list -", "list a", "list -", "list a", "watch 7"));
        assertEquals(mEvents, List.of("listed 2"));
    }

    @Test
    public void watchResumesFromTheLastRevision() throws InterruptedException {
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
                mEvents,
                List.of("listed 0", "changed x", "lost NO_ANSWER", "regained", "changed y"));
    }

    /**
     * The store stops responding for three seconds but still accepts calls. A long watch started in
     * that time would hang for five seconds, and requests would still use the previous
     * configuration long after the store had recovered. Until a call succeeds, no call waits for
     * changes.
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
                        WAIT_MILLIS,
                        Follower.NO_WAIT_MILLIS,
                        Follower.NO_WAIT_MILLIS,
                        WAIT_MILLIS));
    }

    @Test
    public void missingHistoryTriggersListing() throws InterruptedException {
        assertEquals(
                follow(
                        List.of(
                                Either.right(page(5, false)),
                                Either.left(StoreFailure.HISTORY_GONE),
                                Either.right(page(20, false, "z")))),
                List.of("list -", "watch 5", "list -", "watch 20"));
        assertEquals(mEvents, List.of("listed 0", "listed 1"));
    }
}
