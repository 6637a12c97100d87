package org.cyclamenpaddle.relay.host;

import io.vavr.control.Either;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.LongFunction;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.relay.log.RelayEventLog;
import org.cyclamenpaddle.relay.store.StoreEntry;
import org.cyclamenpaddle.relay.store.StoreFailure;
import org.cyclamenpaddle.relay.store.UnusableEntries;

/**
 * Controller that registers this host in the store and counts the other hosts.
 *
 * <p>The entries are read before the host replaces its own one, so that a host which is restarted
 * keeps what that records. Each host makes two calls every twenty seconds; a listing holds some
 * tens of bytes per host.
 */
public final class HostRegistry {

    /** Interval between two rounds, in milliseconds. */
    static final long ROUND_INTERVAL_MILLIS = 20_000;

    /**
     * Delays of the rounds that follow the first one, in milliseconds.
     *
     * <p>Hosts that start together find only some of the others in their first round. The slack of
     * the retry budget would be divided among too few hosts, and the streams that begin are told to
     * none that could resume them.
     */
    static final List<Long> EARLY_ROUND_DELAYS_MILLIS = List.of(1_000L, 4_000L);

    /**
     * Delay before a failed round is retried, in milliseconds; jitter of the same size is added.
     */
    static final long RETRY_DELAY_MILLIS = 1_000;

    private final String mHost;
    private final HostStore mStore;
    private final LongFunction<HostEntry> mSelf;
    private final Consumer<List<LiveHost>> mListener;
    private final Consumer<HostEntry> mEarlierEntry;
    private final UnusableEntries mUnusable;
    private final RelayEventLog mLog;
    private final ScheduledExecutorService mExecutor;
    private final Clock mClock;
    private final DoubleSupplier mRandom;
    private final HostCount mCount = new HostCount();
    private long mHeartbeat;
    private int mAlive;
    private final Iterator<Long> mEarlyRounds = EARLY_ROUND_DELAYS_MILLIS.iterator();
    private boolean mBegun;

    /**
     * Creates a registry; {@link #start} starts it.
     *
     * @param host name of this host
     * @param self returns this host's entry with the given heartbeat
     * @param store store of the entries
     * @param earlierEntry receives each entry before this host replaces its own one
     * @param listener receives the live hosts after each listing
     * @param unusable reports entries that cannot be used
     * @param log event log
     * @param executor a single thread
     * @param clock steady clock
     * @param random uniformly distributed values from 0 to 1
     */
    public HostRegistry(
            String host,
            LongFunction<HostEntry> self,
            HostStore store,
            Consumer<HostEntry> earlierEntry,
            Consumer<List<LiveHost>> listener,
            UnusableEntries unusable,
            RelayEventLog log,
            ScheduledExecutorService executor,
            Clock clock,
            DoubleSupplier random) {
        mHost = host;
        mSelf = self;
        mStore = store;
        mEarlierEntry = earlierEntry;
        mListener = listener;
        mUnusable = unusable;
        mLog = log;
        mExecutor = executor;
        mClock = clock;
        mRandom = random;
        // A restarted host must not repeat the heartbeat of its previous incarnation.
        mHeartbeat = (long) (random.getAsDouble() * Integer.MAX_VALUE);
    }

    /** Starts registering this host and counting hosts. */
    public void start() {
        mStore.entries().thenAcceptAsync(this::begin, mExecutor);
    }

    private void begin(Either<StoreFailure, List<StoreEntry<HostEntry>>> earlier) {
        if (earlier.isLeft()) {
            mExecutor.schedule(this::start, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        earlier.get().forEach(entry -> entry.value().forEach(mEarlierEntry));
        mBegun = true;
        round();
    }

    /** Renews the registration of this host at once, since its content has changed. */
    public void renew() {
        mExecutor.execute(
                () -> {
                    // Until then the entry still holds what this host left when it last ran.
                    if (mBegun) {
                        announce();
                    }
                });
    }

    /** Lists the hosts at once, without waiting for the next round. */
    public void listNow() {
        mStore.entries().thenAcceptAsync(entries -> entries.forEach(this::applyListing), mExecutor);
    }

    private CompletableFuture<Boolean> announce() {
        mHeartbeat++;
        return mStore.announce(mHost, mSelf.apply(mHeartbeat));
    }

    private void round() {
        announce()
                .thenCompose(
                        accepted ->
                                accepted
                                        ? mStore.entries()
                                        : CompletableFuture.completedFuture(
                                                Either.left(StoreFailure.TURNED_AWAY)))
                .thenAcceptAsync(this::update, mExecutor);
    }

    private void update(Either<StoreFailure, List<StoreEntry<HostEntry>>> entries) {
        if (entries.isLeft()) {
            scheduleRound(RETRY_DELAY_MILLIS);
            return;
        }
        applyListing(entries.get());
        scheduleRound(mEarlyRounds.hasNext() ? mEarlyRounds.next() : ROUND_INTERVAL_MILLIS);
    }

    private void applyListing(List<StoreEntry<HostEntry>> entries) {
        entries.forEach(mUnusable::report);
        long now = mClock.millis();
        mCount.applyListing(entries, now).forEach(mStore::remove);
        List<LiveHost> liveHosts = mCount.liveHosts(now);
        if (liveHosts.size() != mAlive) {
            mLog.log(RelayEvent.HOSTS_COUNTED, liveHosts.size(), mAlive);
            mAlive = liveHosts.size();
        }
        mListener.accept(liveHosts);
    }

    private void scheduleRound(long millis) {
        long spread = (long) (mRandom.getAsDouble() * RETRY_DELAY_MILLIS);
        mExecutor.schedule(this::round, millis + spread, TimeUnit.MILLISECONDS);
    }
}
