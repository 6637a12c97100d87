package org.cyclamenpaddle.relay.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.cyclamenpaddle.core.time.VirtualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the calls of a {@link Follower} in virtual time, and how soon it receives a change. */
public class FollowerWatchTest {

    private static final long CALL_TIMEOUT_MILLIS = 1_000;

    /** Time after which a host whose connections went silent is in touch again, in milliseconds. */
    private static final long CONTACT_MILLIS = 3_000;

    /** Maximum time until a host receives a change, in milliseconds. */
    private static final long MAX_PROPAGATION_MILLIS = 2_000;

    private VirtualClock mClock;
    private VirtualExecutor mExecutor;
    private ScriptedStore mStore;
    private List<String> mEvents;
    private List<Long> mAsOf;
    private int mSilences;
    private Follower<String> mFollower;

    private record Page(List<StoreEntry<String>> entries, long revision) {}

    /** Store whose changes, outages and broken connections are simulated in virtual time. */
    private final class ScriptedStore implements EntrySource<String> {

        private record Change(long revision, String name) {}

        private record Waiting(long revision, CompletableFuture<Either<StoreFailure, Page>> at) {}

        private final List<Change> mChanges = new ArrayList<>();
        private final List<Waiting> mWaiting = new ArrayList<>();
        private final List<Waiting> mSilenced = new ArrayList<>();
        private final List<String> mCalls = new ArrayList<>();
        private long mRevision = 1;
        private long mCompactedBefore;
        private boolean mSilent;
        private boolean mWatchesBroken;
        private boolean mOutdated;
        private Optional<StoreFailure> mRefusal = Optional.empty();

        @Override
        public CompletableFuture<Either<StoreFailure, EntryPage<String>>> list(
                Optional<String> after) {
            return respond("list", () -> Either.right(new Page(List.of(), mRevision)));
        }

        @Override
        public CompletableFuture<Either<StoreFailure, EntryPage<String>>> watch(
                long revision, long waitMillis) {
            if (waitMillis == 0 || mRefusal.isPresent() || changedSince(revision) && !mSilent) {
                return respond("watch", () -> since(revision));
            }
            mCalls.add("watch");
            Waiting waiting = new Waiting(revision, new CompletableFuture<>());
            mWaiting.add(waiting);
            mExecutor.schedule(
                    () -> {
                        if (!mSilent && !mWatchesBroken && !mSilenced.contains(waiting)) {
                            waiting.at().complete(since(revision));
                        }
                    },
                    waitMillis,
                    TimeUnit.MILLISECONDS);
            mExecutor.schedule(
                    () -> waiting.at().complete(Either.left(StoreFailure.NO_ANSWER)),
                    waitMillis + CALL_TIMEOUT_MILLIS,
                    TimeUnit.MILLISECONDS);
            return waiting.at().thenApply(ScriptedStore::page);
        }

        @Override
        public CompletableFuture<Either<StoreFailure, EntryPage<String>>> recentChanges(
                long revision) {
            return respond(
                    "check",
                    () -> mOutdated ? Either.right(new Page(List.of(), 1)) : since(revision));
        }

        private CompletableFuture<Either<StoreFailure, EntryPage<String>>> respond(
                String call, Supplier<Either<StoreFailure, Page>> served) {
            mCalls.add(call);
            CompletableFuture<Either<StoreFailure, Page>> response = new CompletableFuture<>();
            if (mSilent) {
                mExecutor.schedule(
                        () -> response.complete(Either.left(StoreFailure.NO_ANSWER)),
                        CALL_TIMEOUT_MILLIS,
                        TimeUnit.MILLISECONDS);
            } else if (mRefusal.isPresent()) {
                response.complete(Either.left(mRefusal.get()));
            } else {
                response.complete(served.get());
            }
            return response.thenApply(ScriptedStore::page);
        }

        private static Either<StoreFailure, EntryPage<String>> page(
                Either<StoreFailure, Page> result) {
            return result.map(page -> new EntryPage<>(page.entries(), page.revision(), false));
        }

        private boolean changedSince(long revision) {
            return mChanges.stream().anyMatch(change -> change.revision() > revision);
        }

        private Either<StoreFailure, Page> since(long revision) {
            if (revision < mCompactedBefore) {
                return Either.left(StoreFailure.HISTORY_GONE);
            }
            List<StoreEntry<String>> entries =
                    mChanges.stream()
                            .filter(change -> change.revision() > revision)
                            .map(
                                    change ->
                                            new StoreEntry<>(
                                                    change.name(), Either.right(change.name())))
                            .toList();
            return Either.right(new Page(entries, mRevision));
        }

        void change(String name) {
            mChanges.add(new Change(++mRevision, name));
            if (!mSilent && !mWatchesBroken) {
                List<Waiting> waiting = List.copyOf(mWaiting);
                mWaiting.clear();
                waiting.forEach(watch -> watch.at().complete(since(watch.revision())));
            }
        }

        /** Leaves the watches that wait without any answer, while new ones are answered. */
        void silenceWatches() {
            mSilenced.addAll(mWaiting);
            mWaiting.clear();
        }

        /** Ends the watches that wait, without an answer. */
        void cutWatches() {
            List<Waiting> waiting = List.copyOf(mWaiting);
            mWaiting.clear();
            waiting.forEach(watch -> watch.at().complete(Either.left(StoreFailure.NO_ANSWER)));
        }

        long calls(String call) {
            return mCalls.stream().filter(call::equals).count();
        }
    }

    @BeforeMethod
    public void start() {
        start(Follower.LONG_WATCH_MILLIS);
    }

    private void start(long waitMillis) {
        mClock = new VirtualClock(0);
        mExecutor = new VirtualExecutor(mClock);
        mStore = new ScriptedStore();
        mEvents = new ArrayList<>();
        mAsOf = new ArrayList<>();
        mSilences = 0;
        mFollower =
                new Follower<>(
                        mStore,
                        listener(),
                        waitMillis,
                        () -> mSilences++,
                        mExecutor,
                        mClock,
                        () -> 1);
        mFollower.start();
        mExecutor.advance(10);
    }

    private EntryListener<String> listener() {
        return new EntryListener<>() {
            @Override
            public void onListing(List<StoreEntry<String>> entries) {
                mEvents.add("listed");
            }

            @Override
            public void onChange(StoreEntry<String> entry) {
                mEvents.add(entry.name());
            }

            @Override
            public void onStoreAnswer(long asOfMillis) {
                mAsOf.add(asOfMillis);
            }

            @Override
            public void onStoreUnavailable(StoreFailure failure) {
                mEvents.add("lost");
            }

            @Override
            public void onStoreAvailable(long unavailableMillis) {
                mEvents.add("regained");
            }
        };
    }

    /** Idle deployments loaded the store with a call per host and kind every two seconds. */
    @Test
    public void idleMinuteTakesFewFullCalls() {
        mExecutor.advance(60_000);
        assertTrue(mStore.calls("watch") <= 4, "calls: " + mStore.mCalls);
        assertEquals(mStore.calls("list"), 1);
        assertTrue(mStore.calls("check") <= 30, "calls: " + mStore.mCalls);
    }

    /** Failure: short watches cost more than the detection of silent connections requires. */
    @Test
    public void idleMinuteOfShortWatchesTakesOneFullCallEachTwoAndAHalfSeconds() {
        start(Follower.SHORT_WATCH_MILLIS);
        mExecutor.advance(60_000);
        assertTrue(mStore.calls("watch") <= 24, "calls: " + mStore.mCalls);
        assertEquals(mStore.calls("list"), 1);
        assertTrue(mStore.calls("check") <= 24, "calls: " + mStore.mCalls);
    }

    /** A starting deployment caused one call by each host for each new server. */
    @Test
    public void changesInQuickSuccessionTakeFewCalls() {
        for (int server = 0; server < 110; server++) {
            mStore.change("server-" + server);
            mExecutor.advance(40);
        }
        mExecutor.advance(MAX_PROPAGATION_MILLIS);
        assertEquals(mEvents.size(), 1 + 110);
        assertTrue(mStore.calls("watch") <= 12, "calls: " + mStore.mCalls);
    }

    /** Every change must arrive in time, however soon it follows another one. */
    @Test
    public void changeRightAfterAnotherIsKnownInTime() {
        mStore.change("first");
        mExecutor.advance(1);
        mStore.change("second");
        mExecutor.advance(MAX_PROPAGATION_MILLIS);
        assertEquals(mEvents, List.of("listed", "first", "second"));
    }

    /**
     * The connection of the open watch became permanently silent, and no change arrived any more.
     */
    @Test
    public void changeMissedByBrokenWatchIsFoundByNextCheck() {
        mStore.mWatchesBroken = true;
        mExecutor.advance(5_000);
        mStore.change("unheard");
        mExecutor.advance(MAX_PROPAGATION_MILLIS);
        assertEquals(mEvents, List.of("listed", "unheard"));
    }

    /**
     * Failure: the connections of all watches become silent, and changes arrive late although new
     * connections work, since outdated answers count as a sign that the watch does.
     */
    @Test
    public void watchOnASilentConnectionIsReplacedInTime() {
        start(Follower.SHORT_WATCH_MILLIS);
        mStore.mOutdated = true;
        for (int silence = 1; silence <= 20; silence++) {
            mExecutor.advance(Follower.COALESCING_PAUSE_MILLIS + 97 * silence);
            mStore.silenceWatches();
            mExecutor.advance(CONTACT_MILLIS);
            mEvents.clear();
            mStore.change("change");
            mExecutor.advance(1);
            assertEquals(mEvents, List.of("change"), "silence " + silence);
            assertEquals(mSilences, silence);
        }
    }

    /** Failure: a watch waits on for long after another one was found silent. */
    @Test
    public void longWatchIsReplacedWhenAnotherIsFoundSilent() {
        mStore.mOutdated = true;
        mExecutor.advance(500);
        mStore.silenceWatches();
        mStore.change("unheard");
        mExecutor.advance(CONTACT_MILLIS);
        assertEquals(mEvents, List.of("listed"));
        mFollower.renew();
        mExecutor.advance(1);
        assertEquals(mEvents, List.of("listed", "unheard"));
    }

    /** Failure: an answer that may be outdated confirms the listing. */
    @Test
    public void onlyAnswersThatAreNotOutdatedConfirm() {
        start(Follower.SHORT_WATCH_MILLIS);
        mAsOf.clear();
        mExecutor.advance(Follower.CHECK_INTERVAL_MILLIS);
        assertEquals(mStore.calls("check"), 1);
        assertEquals(mAsOf, List.of());
        mExecutor.advance(Follower.SHORT_WATCH_MILLIS - Follower.CHECK_INTERVAL_MILLIS);
        assertEquals(mAsOf, List.of(Follower.SHORT_WATCH_MILLIS));
        mExecutor.advance(100);
        mStore.change("early");
        mExecutor.advance(1);
        assertEquals(mAsOf, List.of(Follower.SHORT_WATCH_MILLIS, Follower.SHORT_WATCH_MILLIS));
    }

    /**
     * A watch started before the store stopped responding hung long after the store had recovered.
     */
    @Test
    public void silentStoreIsNoticedWhileAWatchWaits() {
        mStore.mSilent = true;
        mExecutor.advance(Follower.CHECK_INTERVAL_MILLIS + CALL_TIMEOUT_MILLIS);
        assertEquals(mEvents, List.of("listed", "lost"));
        mStore.change("meanwhile");
        mExecutor.advance(4_000);
        mStore.mSilent = false;
        mExecutor.advance(MAX_PROPAGATION_MILLIS);
        assertEquals(mEvents, List.of("listed", "lost", "regained", "meanwhile"));
    }

    /** Failure: a watch that is cut off counts as an outage of the store. */
    @Test
    public void watchesThatAreCutOffAreNoOutage() {
        for (int cut = 0; cut < 6; cut++) {
            mStore.cutWatches();
            mExecutor.advance(950);
            mStore.change("change-" + cut);
            mExecutor.advance(1_000);
        }
        assertEquals(
                mEvents,
                List.of(
                        "listed",
                        "change-0",
                        "change-1",
                        "change-2",
                        "change-3",
                        "change-4",
                        "change-5"));
    }

    /** Failure: an outage that begins while a watch waits is not noticed for a second. */
    @Test
    public void outageThatEndsAWatchIsNoticedByTheNextCall() {
        mStore.mRefusal = Optional.of(StoreFailure.TURNED_AWAY);
        mStore.cutWatches();
        mExecutor.advance(2 * Follower.BASE_BACKOFF_MILLIS);
        assertEquals(mEvents, List.of("listed", "lost"));
    }

    /**
     * Hosts that are rejected for minutes must not use up the store's rate limit with their
     * retries.
     */
    @Test
    public void rejectedHostBacksOffAndRecoversInTime() {
        mStore.mRefusal = Optional.of(StoreFailure.TURNED_AWAY);
        mExecutor.advance(60_000);
        assertEquals(mEvents, List.of("listed", "lost"));
        assertTrue(mStore.mCalls.size() < 60_000 / 500, "calls: " + mStore.mCalls.size());
        mStore.change("meanwhile");
        mStore.mRefusal = Optional.empty();
        mExecutor.advance(MAX_PROPAGATION_MILLIS);
        assertEquals(mEvents, List.of("listed", "lost", "regained", "meanwhile"));
    }

    /**
     * The store discarded its history while a watch was waiting; the changes in between never
     * arrived.
     */
    @Test
    public void historyGoneAtCheckTriggersListing() {
        mStore.mCompactedBefore = mStore.mRevision + 1;
        mStore.mRevision += 1;
        mExecutor.advance(Follower.CHECK_INTERVAL_MILLIS + 2 * Follower.BASE_BACKOFF_MILLIS);
        assertEquals(mEvents, List.of("listed", "listed"));
    }

    /** An abandoned watch responds late; its changes are outdated and must not be applied. */
    @Test
    public void lateResponseOfAbandonedWatchIsIgnored() {
        mStore.mWatchesBroken = true;
        mStore.change("first");
        mExecutor.advance(Follower.CHECK_INTERVAL_MILLIS + Follower.COALESCING_PAUSE_MILLIS);
        Page old = new Page(List.of(new StoreEntry<>("old", Either.right("old"))), 1);
        mStore.mWaiting.forEach(watch -> watch.at().complete(Either.right(old)));
        mExecutor.advance(1);
        // Two watches were pending: the open one and the abandoned one.
        assertEquals(mEvents, List.of("listed", "first", "old"));
    }
}
