package org.cyclamenpaddle.router.configuration;

import java.util.concurrent.atomic.AtomicBoolean;
import org.cyclamenpaddle.core.outcome.RetryReason;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.router.event.EventLog;
import org.cyclamenpaddle.router.event.LogEvent;
import org.cyclamenpaddle.router.metric.RouterMetrics;
import org.cyclamenpaddle.store.http.PlatformError;

/** Tracks whether the platform is reachable, and logs changes rather than every failure. */
public final class PlatformHealth {

    private final EventLog mLog;
    private final RouterMetrics mMetrics;
    private final Clock mClock;
    private final AtomicBoolean mReachable = new AtomicBoolean(true);
    private volatile long mUnavailableSince;

    /**
     * Creates an instance that assumes a reachable platform.
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

    /** Records a response. */
    public void recordResponse() {
        if (mReachable.compareAndSet(false, true)) {
            mLog.log(LogEvent.PLATFORM_AVAILABLE, mClock.millis() - mUnavailableSince);
        }
    }

    /** Records a failed call. */
    public void recordFailure(PlatformError error) {
        mMetrics.recordRetry(RetryReason.PLATFORM_CALL_FAILED);
        if (mReachable.compareAndSet(true, false)) {
            mUnavailableSince = mClock.millis();
            mLog.log(LogEvent.PLATFORM_UNAVAILABLE, error);
        }
    }

    /** Returns whether the last recorded call to the platform got a response. */
    public boolean reachable() {
        return mReachable.get();
    }
}
