package org.cyclamenpaddle.relay.assembly;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.relay.backend.BackendDirectory;
import org.cyclamenpaddle.relay.backend.BackendRegistry;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.relay.log.RelayEventLog;
import org.cyclamenpaddle.relay.store.StoreAnswers;
import org.cyclamenpaddle.relay.store.StorePeers;

/**
 * Tells the registry of outages of the store, and tells them apart from times in which only this
 * host had lost it.
 *
 * <p>Entries that are missing after an outage may have expired in it; those that are missing after
 * this host was cut off were removed. Only other hosts know which it was.
 */
final class StoreOutages {

    /**
     * End of the time for which other hosts are asked, in milliseconds before now. After a real
     * outage it excludes the answers that another host got earlier than this one; by the time that
     * it includes them, no lapsed entry is used any more.
     */
    static final long EVIDENCE_AGE_MILLIS = BackendDirectory.LAPSED_RETENTION_MILLIS;

    /** Interval between two questions: connections to other hosts may be lost as well. */
    static final long ASK_INTERVAL_MILLIS = 400;

    private final BackendRegistry mRegistry;
    private final StoreAnswers mAnswers;
    private final StorePeers mPeers;
    private final RelayEventLog mLog;
    private final ScheduledExecutorService mExecutor;
    private final Clock mClock;
    private final AtomicLong mOutages = new AtomicLong();

    StoreOutages(
            BackendRegistry registry,
            StoreAnswers answers,
            StorePeers peers,
            RelayEventLog log,
            ScheduledExecutorService executor,
            Clock clock) {
        mRegistry = registry;
        mAnswers = answers;
        mPeers = peers;
        mLog = log;
        mExecutor = executor;
        mClock = clock;
    }

    /** Records an answer that the store cannot have given before the given time. */
    void answered(long asOfMillis) {
        mAnswers.record(asOfMillis, mClock.millis());
    }

    /** Records that store calls begin to fail. */
    void begun() {
        mOutages.incrementAndGet();
        mAnswers.recordFailure();
        mRegistry.recordStoreOutage(mClock.millis());
    }

    /** Records that store calls succeed again. */
    void ended(long unavailableMillis) {
        long now = mClock.millis();
        mRegistry.recordStoreReturn(now);
        ask(mOutages.get(), now - unavailableMillis, now);
    }

    private void ask(long outage, long beganMillis, long endedMillis) {
        long now = mClock.millis();
        long toMillis = now - endedMillis + EVIDENCE_AGE_MILLIS;
        boolean known = now - endedMillis >= BackendDirectory.LAPSED_RETENTION_MILLIS;
        if (known || outage != mOutages.get() || now - beganMillis < toMillis) {
            return;
        }
        mPeers.answered(now - beganMillis, toMillis)
                .thenAccept(
                        answered -> {
                            if (answered) {
                                recordOwn(outage, endedMillis - beganMillis);
                            } else {
                                askLater(outage, beganMillis, endedMillis);
                            }
                        });
    }

    private void recordOwn(long outage, long awayMillis) {
        if (outage == mOutages.get()) {
            mRegistry.recordOwnOutage();
            mLog.log(RelayEvent.STORE_LOST_ALONE, awayMillis);
        }
    }

    private void askLater(long outage, long beganMillis, long endedMillis) {
        try {
            mExecutor.schedule(
                    () -> ask(outage, beganMillis, endedMillis),
                    ASK_INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException stopping) {
            // A host that stops takes no new requests.
        }
    }
}
