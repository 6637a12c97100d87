package org.cyclamenpaddle.relay.directive;

import java.util.ArrayDeque;
import java.util.Deque;
import org.cyclamenpaddle.routing.limit.CallPermits;

/**
 * Limit on the calls of all hosts to one backend server, and the permits that this host holds.
 *
 * <p>Permits come from the host that owns the limit, and expire if they are not used at once. Not
 * thread-safe.
 */
final class CallLimit {

    private final Deque<Long> mPermitsUntilMillis = new ArrayDeque<>();
    private double mPerSecond;
    private boolean mRequested;
    private long mRetryMillis = Long.MIN_VALUE / 2;

    CallLimit(double perSecond) {
        mPerSecond = perSecond;
    }

    double perSecond() {
        return mPerSecond;
    }

    void updatePerSecond(double perSecond) {
        mPerSecond = perSecond;
    }

    /** Returns whether permits for the given number of calls are held. */
    boolean permits(int calls, long nowMillis) {
        mPermitsUntilMillis.removeIf(until -> until <= nowMillis);
        return mPermitsUntilMillis.size() >= calls;
    }

    /** Uses permits for the given number of calls, and returns whether there were enough. */
    boolean tryUse(int calls, long nowMillis) {
        boolean permitted = permits(calls, nowMillis);
        for (int call = 0; permitted && call < calls; call++) {
            mPermitsUntilMillis.removeFirst();
        }
        return permitted;
    }

    /** Returns whether a request for permits may be sent now; if so, marks it as sent. */
    boolean beginRequest(long nowMillis) {
        boolean begun = !mRequested && nowMillis >= mRetryMillis;
        mRequested |= begun;
        return begun;
    }

    /** Records permits that were granted for a request. */
    void recordGranted(int calls, long nowMillis) {
        mRequested = false;
        for (int call = 0; call < calls; call++) {
            mPermitsUntilMillis.addLast(nowMillis + CallPermits.VALID_MILLIS);
        }
    }

    /** Records that a request was denied. */
    void recordDenied(long retryMillis, long nowMillis) {
        mRequested = false;
        mRetryMillis = nowMillis + retryMillis;
    }

    /** Returns the time after which permits may be requested again, in milliseconds. */
    long waitMillis(long nowMillis) {
        return Math.max(0, mRetryMillis - nowMillis);
    }
}
