package org.cyclamenpaddle.peer.net;

/** Exponential backoff between failed connection attempts to one host; not thread-safe. */
final class ReconnectBackoff {

    private final long mMinMillis;
    private final long mMaxMillis;
    private long mStepMillis;
    private long mUntilMillis = Long.MIN_VALUE;

    ReconnectBackoff(long minMillis, long maxMillis) {
        mMinMillis = minMillis;
        mMaxMillis = maxMillis;
    }

    /**
     * Returns the delay before the next connection attempt, in milliseconds; 0 if it may be made
     * now.
     */
    long waitMillis(long nowMillis) {
        return mUntilMillis <= nowMillis ? 0 : mUntilMillis - nowMillis;
    }

    void failed(long nowMillis) {
        mStepMillis = Math.min(mMaxMillis, Math.max(mMinMillis, mStepMillis * 2));
        mUntilMillis = nowMillis + mStepMillis;
    }

    void succeeded() {
        mStepMillis = 0;
        mUntilMillis = Long.MIN_VALUE;
    }
}
