package org.cyclamenpaddle.router.configuration;

import java.util.concurrent.atomic.AtomicBoolean;
import org.cyclamenpaddle.core.outcome.RetryReason;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.router.event.EventLog;
import org.cyclamenpaddle.router.event.LogEvent;
import org.cyclamenpaddle.router.metric.RouterMetrics;
import org.cyclamenpaddle.store.http.PlatformError;

/** Whether the platform answered lately; logs the change, not each failure. */
public final class PlatformHealth {

    private final EventLog mLog;
    private final RouterMetrics mMetrics;
    private final Clock mClock;
    private final AtomicBoolean mReachable = new AtomicBoolean(true);
    private volatile long mAwaySince;

    /**
     * Creates the health of a platform that is taken to answer.
     *
     * @param log events
     * @param metrics counts failed calls
     * @param clock measures outages
     */
    public PlatformHealth(EventLog log, RouterMetrics metrics, Clock clock) {
        mClock = clock;
        mLog = log;
        mMetrics = metrics;
    }

    /** Notes an answer. */
    public void answered() {
        if (mReachable.compareAndSet(false, true)) {
            mLog.log(LogEvent.PLATFORM_REACHABLE, mClock.millis() - mAwaySince);
        }
    }

    /** Notes a failed call. */
    public void failed(PlatformError error) {
        mMetrics.recordRetry(RetryReason.PLATFORM_CALL_FAILED);
        if (mReachable.compareAndSet(true, false)) {
            mAwaySince = mClock.millis();
            mLog.log(LogEvent.PLATFORM_UNREACHABLE, error);
        }
    }

    /** Returns whether the platform answered lately. */
    public boolean reachable() {
        return mReachable.get();
    }
}
