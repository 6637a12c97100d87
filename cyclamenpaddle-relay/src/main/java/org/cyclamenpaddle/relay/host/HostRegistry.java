package org.cyclamenpaddle.relay.host;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.IntConsumer;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.relay.log.DecisionLog;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.relay.store.Entry;
import org.cyclamenpaddle.relay.store.StoreFailure;

/**
 * Controller that announces this host in the store and counts the others.
 *
 * <p>Two calls in twenty seconds for each host; a listing holds some tens of bytes for each host.
 */
public final class HostRegistry {

    /** Pause between two rounds, in milliseconds. */
    static final long ROUND_MILLIS = 20_000;

    /**
     * Pause after the first round, in milliseconds.
     *
     * <p>Hosts that start together find only some of the others in their first round; the slack of
     * repeats would be divided among too few.
     */
    static final long SECOND_ROUND_MILLIS = 5_000;

    /** Pause before a failed round is tried again, in milliseconds, spread by as much again. */
    static final long RETRY_MILLIS = 1_000;

    private final String mHost;
    private final HostStore mStore;
    private final IntConsumer mListener;
    private final DecisionLog mLog;
    private final ScheduledExecutorService mExecutor;
    private final Clock mClock;
    private final DoubleSupplier mRandom;
    private final HostCount mCount = new HostCount();
    private long mBeat;
    private int mAlive;
    private boolean mFirstRound = true;

    /**
     * Creates a registry; {@link #start} begins.
     *
     * @param host name of this host
     * @param store of the entries
     * @param listener told the number of hosts whenever it changes
     * @param log decision lines
     * @param executor a single thread
     * @param clock steady clock
     * @param random even draws from 0 to 1
     */
    public HostRegistry(
            String host,
            HostStore store,
            IntConsumer listener,
            DecisionLog log,
            ScheduledExecutorService executor,
            Clock clock,
            DoubleSupplier random) {
        mHost = host;
        mStore = store;
        mListener = listener;
        mLog = log;
        mExecutor = executor;
        mClock = clock;
        mRandom = random;
        // A host that starts again must not repeat the beat of its life before.
        mBeat = (long) (random.getAsDouble() * Integer.MAX_VALUE);
    }

    /** Begins to announce and to count. */
    public void start() {
        mExecutor.execute(this::round);
    }

    private void round() {
        mBeat++;
        mStore.announce(mHost, mBeat)
                .thenCompose(
                        taken ->
                                taken
                                        ? mStore.heartbeats()
                                        : CompletableFuture.completedFuture(
                                                Either.left(StoreFailure.TURNED_AWAY)))
                .thenAcceptAsync(this::counted, mExecutor);
    }

    private void counted(Either<StoreFailure, List<Entry<Long>>> entries) {
        if (entries.isLeft()) {
            later(RETRY_MILLIS);
            return;
        }
        long now = mClock.millis();
        mCount.listed(entries.get(), now).forEach(mStore::remove);
        int alive = mCount.alive(now);
        if (alive != mAlive) {
            mLog.log(RelayEvent.HOSTS_COUNTED, alive, mAlive);
            mAlive = alive;
            mListener.accept(alive);
        }
        later(mFirstRound ? SECOND_ROUND_MILLIS : ROUND_MILLIS);
        mFirstRound = false;
    }

    private void later(long millis) {
        long spread = (long) (mRandom.getAsDouble() * RETRY_MILLIS);
        mExecutor.schedule(this::round, millis + spread, TimeUnit.MILLISECONDS);
    }
}
