package org.cyclamenpaddle.relay.backend;

import java.util.concurrent.atomic.AtomicInteger;
import org.cyclamenpaddle.routing.silence.ServerActivity;

/**
 * When this host last received anything from one incarnation of a backend server, over all its
 * requests and calls there. Thread-safe.
 */
public final class ServerVoice {

    private volatile long mHeardMillis = Long.MIN_VALUE / 2;
    private volatile boolean mSuspected;
    private final AtomicInteger mPendingCalls = new AtomicInteger();

    ServerVoice() {}

    /**
     * Records that something was received from the server.
     *
     * @return whether the server had counted as silent
     */
    public boolean heard(long nowMillis) {
        mHeardMillis = nowMillis;
        boolean suspected = mSuspected;
        mSuspected = false;
        return suspected;
    }

    /** Returns whether anything was received from the server since the given time. */
    public boolean heardSince(long millis) {
        return mHeardMillis >= millis;
    }

    /** Records that the server counts as silent until it is heard. */
    void suspect() {
        mSuspected = true;
    }

    /** Records that a call was sent to the server, which responds at once unless it is silent. */
    public void callSent() {
        mPendingCalls.incrementAndGet();
    }

    /** Records that a call has ended, with a response or without. */
    public void callEnded() {
        mPendingCalls.decrementAndGet();
    }

    /**
     * Returns whether the server counts as silent and a pending call will show when it responds
     * again. Further calls would only wait there as well.
     */
    boolean awaitsResponse() {
        return mSuspected && mPendingCalls.get() > 0;
    }

    /** Returns whether the server counts as silent and no call will show when it responds again. */
    public boolean needsCall() {
        return mSuspected && mPendingCalls.get() <= 0;
    }

    /**
     * Returns the activity of the server.
     *
     * @param workSinceMillis time at which this host's oldest uninterrupted work there began
     */
    ServerActivity activity(boolean busy, long workSinceMillis, long nowMillis) {
        return new ServerActivity(
                busy,
                busy ? Math.max(0, nowMillis - workSinceMillis) : 0,
                Math.max(0, nowMillis - mHeardMillis));
    }
}
