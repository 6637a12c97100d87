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

/** Tests what a {@link Follower} calls in virtual time, and how soon it learns of a change. */
public class FollowerWatchTest {

    private static final long CALL_TIMEOUT_MILLIS = 1_000;

    /** Time after which a host knows of a change at the latest, in milliseconds. */
    private static final long KNOWN_MILLIS = 2_000;

    private VirtualClock mClock;
    private VirtualExecutor mExecutor;
    private ScriptedStore mStore;
    private List<String> mTold;

    private record Page(List<Entry<String>> entries, long revision) {}

    /** A store whose changes, silences and broken connections are played in virtual time. */
    private final class ScriptedStore implements EntrySource<String> {

        private record Change(long revision, String name) {}

        private record Waiting(long revision, CompletableFuture<Either<StoreFailure, Page>> at) {}

        private final List<Change> mChanges = new ArrayList<>();
        private final List<Waiting> mWaiting = new ArrayList<>();
        private final List<String> mCalls = new ArrayList<>();
        private long mRevision = 1;
        private long mForgottenBefore;
        private boolean mSilent;
        private boolean mWatchesDead;
        private Optional<StoreFailure> mRefusal = Optional.empty();

        @Override
        public CompletableFuture<Either<StoreFailure, EntryPage<String>>> list(
                Optional<String> after) {
            return answer("list", () -> Either.right(new Page(List.of(), mRevision)));
        }

        @Override
        public CompletableFuture<Either<StoreFailure, EntryPage<String>>> watch(
                long revision, long waitMillis) {
            if (waitMillis == 0 || mSilent || mRefusal.isPresent() || changedSince(revision)) {
                return answer("watch", () -> since(revision));
            }
            mCalls.add("watch");
            Waiting waiting = new Waiting(revision, new CompletableFuture<>());
            mWaiting.add(waiting);
            mExecutor.schedule(
                    () -> waiting.at().complete(since(revision)),
                    waitMillis,
                    TimeUnit.MILLISECONDS);
            return waiting.at().thenApply(ScriptedStore::page);
        }

        @Override
        public CompletableFuture<Either<StoreFailure, EntryPage<String>>> recentChanges(
                long revision) {
            return answer("check", () -> since(revision));
        }

        private CompletableFuture<Either<StoreFailure, EntryPage<String>>> answer(
                String call, Supplier<Either<StoreFailure, Page>> served) {
            mCalls.add(call);
            CompletableFuture<Either<StoreFailure, Page>> answer = new CompletableFuture<>();
            if (mSilent) {
                mExecutor.schedule(
                        () -> answer.complete(Either.left(StoreFailure.NO_ANSWER)),
                        CALL_TIMEOUT_MILLIS,
                        TimeUnit.MILLISECONDS);
            } else if (mRefusal.isPresent()) {
                answer.complete(Either.left(mRefusal.get()));
            } else {
                answer.complete(served.get());
            }
            return answer.thenApply(ScriptedStore::page);
        }

        private static Either<StoreFailure, EntryPage<String>> page(
                Either<StoreFailure, Page> result) {
            return result.map(page -> new EntryPage<>(page.entries(), page.revision(), false));
        }

        private boolean changedSince(long revision) {
            return mChanges.stream().anyMatch(change -> change.revision() > revision);
        }

        private Either<StoreFailure, Page> since(long revision) {
            if (revision < mForgottenBefore) {
                return Either.left(StoreFailure.HISTORY_GONE);
            }
            List<Entry<String>> entries =
                    mChanges.stream()
                            .filter(change -> change.revision() > revision)
                            .map(change -> new Entry<>(change.name(), Either.right(change.name())))
                            .toList();
            return Either.right(new Page(entries, mRevision));
        }

        void change(String name) {
            mChanges.add(new Change(++mRevision, name));
            if (!mSilent && !mWatchesDead) {
                List<Waiting> waiting = List.copyOf(mWaiting);
                mWaiting.clear();
                waiting.forEach(watch -> watch.at().complete(since(watch.revision())));
            }
        }

        long calls(String call) {
            return mCalls.stream().filter(call::equals).count();
        }
    }

    @BeforeMethod
    public void start() {
        mClock = new VirtualClock(0);
        mExecutor = new VirtualExecutor(mClock);
        mStore = new ScriptedStore();
        mTold = new ArrayList<>();
        new Follower<>(mStore, listener(), mExecutor, mClock, () -> 1).start();
        mExecutor.advance(10);
    }

    private EntryListener<String> listener() {
        return new EntryListener<>() {
            @Override
            public void onListing(List<Entry<String>> entries) {
                mTold.add("listed");
            }

            @Override
            public void onChange(Entry<String> entry) {
                mTold.add(entry.name());
            }

            @Override
            public void onStoreUnavailable(StoreFailure failure) {
                mTold.add("lost");
            }

            @Override
            public void onStoreAvailable(long awayMillis) {
                mTold.add("regained");
            }
        };
    }

    /** Idle fleets kept the store busy: hosts times kinds, every two seconds. */
    @Test
    public void quietMinuteTakesFewFullCalls() {
        mExecutor.advance(60_000);
        assertTrue(mStore.calls("watch") <= 4, "calls: " + mStore.mCalls);
        assertEquals(mStore.calls("list"), 1);
        assertTrue(mStore.calls("check") <= 30, "calls: " + mStore.mCalls);
    }

    /** A fleet that starts made each host call once for each server that appeared. */
    @Test
    public void serversThatAppearTogetherAreFewCalls() {
        for (int server = 0; server < 110; server++) {
            mStore.change("server-" + server);
            mExecutor.advance(40);
        }
        mExecutor.advance(KNOWN_MILLIS);
        assertEquals(mTold.size(), 1 + 110);
        assertTrue(mStore.calls("watch") <= 12, "calls: " + mStore.mCalls);
    }

    /** Every change must be known in time, however close it follows upon another one. */
    @Test
    public void changeRightAfterAnotherIsKnownInTime() {
        mStore.change("first");
        mExecutor.advance(1);
        mStore.change("second");
        mExecutor.advance(KNOWN_MILLIS);
        assertEquals(mTold, List.of("listed", "first", "second"));
    }

    /** The connection of the open watch went silent for good, and no change was ever heard of. */
    @Test
    public void changeThatADeadWatchMissesIsKnownAfterTheNextCheck() {
        mStore.mWatchesDead = true;
        mExecutor.advance(5_000);
        mStore.change("unheard");
        mExecutor.advance(KNOWN_MILLIS);
        assertEquals(mTold, List.of("listed", "unheard"));
    }

    /** A watch begun before the store fell silent hung long after the store was back. */
    @Test
    public void silentStoreIsNoticedWhileAWatchWaits() {
        mStore.mSilent = true;
        mExecutor.advance(Follower.CHECK_MILLIS + CALL_TIMEOUT_MILLIS);
        assertEquals(mTold, List.of("listed", "lost"));
        mStore.change("meanwhile");
        mExecutor.advance(4_000);
        mStore.mSilent = false;
        mExecutor.advance(KNOWN_MILLIS);
        assertEquals(mTold, List.of("listed", "lost", "regained", "meanwhile"));
    }

    /** Hosts that are turned away for minutes must not fill the store's rate with their retries. */
    @Test
    public void refusedHostCallsLessOftenAndIsBackInTime() {
        mStore.mRefusal = Optional.of(StoreFailure.TURNED_AWAY);
        mExecutor.advance(60_000);
        assertEquals(mTold, List.of("listed", "lost"));
        assertTrue(mStore.mCalls.size() < 60_000 / 500, "calls: " + mStore.mCalls.size());
        mStore.change("meanwhile");
        mStore.mRefusal = Optional.empty();
        mExecutor.advance(KNOWN_MILLIS);
        assertEquals(mTold, List.of("listed", "lost", "regained", "meanwhile"));
    }

    /** The store forgot its history while a watch waited; what lay between was never heard of. */
    @Test
    public void historyGoneAtACheckMeansAListing() {
        mStore.mForgottenBefore = mStore.mRevision + 1;
        mStore.mRevision += 1;
        mExecutor.advance(Follower.CHECK_MILLIS + 2 * Follower.LEAST_PAUSE_MILLIS);
        assertEquals(mTold, List.of("listed", "listed"));
    }

    /** A watch that was given up answers late; its changes are old and must not be taken in. */
    @Test
    public void lateAnswerOfAWatchThatWasGivenUpIsIgnored() {
        mStore.mWatchesDead = true;
        mStore.change("first");
        mExecutor.advance(KNOWN_MILLIS);
        Page old = new Page(List.of(new Entry<>("old", Either.right("old"))), 1);
        mStore.mWaiting.forEach(watch -> watch.at().complete(Either.right(old)));
        mExecutor.advance(1);
        // Two watches waited, the open one and the one that was given up.
        assertEquals(mTold, List.of("listed", "first", "old"));
    }
}
