package org.cyclamenpaddle.routing.limit;

/**
 * Token bucket from which one host permits the calls of all hosts to one backend server, which has
 * named a limit.
 *
 * <p>Hosts with equal parts of a limit would each need room for one call, and with many hosts and a
 * low limit these calls alone exceed it. Not thread-safe.
 */
public final class CallPermits {

    /**
     * Time for which a host may use a permit, in milliseconds; permits that hosts keep and use
     * together must not exceed the limit.
     */
    public static final long VALID_MILLIS = 500;

    /**
     * Lowest effective limit, in calls per second. A server with a limit of 0 would never be called
     * again, and could not respond that its limit has ended.
     */
    static final double MIN_PER_SECOND = 0.05;

    /** Maximum time after which a host asks again, in milliseconds. */
    static final long MAX_RETRY_MILLIS = 5_000;

    /** Share of a limit that is used by its owner. */
    private static final double OWNER_SHARE = 0.85;

    /**
     * Share of a limit that is used by a host that may not be its only owner: a deputy, or an owner
     * by a list of hosts that others may not have yet. Both together stay within the tolerance.
     */
    private static final double DEPUTY_SHARE = 0.4;

    /** Calls that accumulate at least: a reservation and the request that follows. */
    private static final double BURST_CALLS = 2;

    /** Time whose calls accumulate besides, in milliseconds. */
    private static final double BURST_MILLIS = 200;

    /**
     * Time in which the bucket of a host that has started gets the calls that accumulate at least,
     * in milliseconds: the window in which servers judge their limits.
     */
    private static final long START_MILLIS = 4_000;

    /** Calls that the bucket of a host that has started gets besides, per millisecond. */
    private static final double START_PER_MILLI = BURST_CALLS / START_MILLIS;

    /** Time without a request that names the lower limit after which a higher one applies. */
    private static final long RAISE_MILLIS = 5_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * Result of a request for permits.
     *
     * @param granted whether all calls are permitted
     * @param retryMillis time after which another request is likely to be granted; 0 if granted
     */
    public record Result(boolean granted, long retryMillis) {}

    private double mPerSecond = Double.POSITIVE_INFINITY;
    private long mLowestMillis;
    private double mTokens;
    private long mTokensMillis;
    private long mRequestMillis;
    private int mDenied;

    /** Time until which the bucket gets the calls that accumulate at least. */
    private long mStartUntilMillis = Long.MIN_VALUE / 2;

    /** Creates a bucket with the calls that may accumulate at the lowest limit. */
    public CallPermits(long nowMillis) {
        mTokens = BURST_CALLS;
        mTokensMillis = nowMillis;
        mLowestMillis = nowMillis;
        mRequestMillis = nowMillis;
    }

    /**
     * Returns the bucket of a host that has started at the given time. Its predecessor may have
     * permitted all calls that were possible until then, so that the bucket fills from that time.
     * Restarts in series add no more calls to a window than one start.
     */
    public static CallPermits ofHostStartedAt(long startMillis) {
        CallPermits permits = new CallPermits(startMillis);
        permits.mTokens = 0;
        permits.mStartUntilMillis = startMillis + START_MILLIS;
        return permits;
    }

    /**
     * Takes permits for some calls.
     *
     * @param calls number of calls
     * @param perSecond limit that the server has named to the host that asks, in calls per second
     * @param soleOwner whether no other host lends from this limit
     * @param nowMillis current time of the steady clock
     */
    public Result take(int calls, double perSecond, boolean soleOwner, long nowMillis) {
        adoptLimit(Math.max(MIN_PER_SECOND, perSecond), nowMillis);
        double perMilli = mPerSecond * (soleOwner ? OWNER_SHARE : DEPUTY_SHARE) / MILLIS_PER_SECOND;
        double capacity = Math.max(calls, BURST_CALLS) + BURST_MILLIS * perMilli;
        double started = Math.max(0, Math.min(nowMillis, mStartUntilMillis) - mTokensMillis);
        double accrued = (nowMillis - mTokensMillis) * perMilli + started * START_PER_MILLI;
        mTokens = Math.min(capacity, mTokens + accrued);
        mTokensMillis = nowMillis;
        if (nowMillis - mRequestMillis > MAX_RETRY_MILLIS) {
            mDenied = 0;
        }
        mRequestMillis = nowMillis;
        if (mTokens >= calls) {
            mTokens -= calls;
            mDenied = Math.max(0, mDenied - 1);
            return new Result(true, 0);
        }
        // Hosts that are denied return one after the other, as tokens become available.
        double rate = perMilli + (nowMillis < mStartUntilMillis ? START_PER_MILLI : 0);
        long retryMillis = (long) Math.ceil((calls * (1 + mDenied) - mTokens) / rate);
        mDenied++;
        return new Result(false, Math.min(MAX_RETRY_MILLIS, retryMillis));
    }

    /** Returns the time of the last request. */
    public long requestMillis() {
        return mRequestMillis;
    }

    /** Applies the lowest limit of the recent requests, since responses can overtake each other. */
    private void adoptLimit(double perSecond, long nowMillis) {
        if (perSecond <= mPerSecond || nowMillis - mLowestMillis > RAISE_MILLIS) {
            mPerSecond = perSecond;
            mLowestMillis = nowMillis;
        }
    }
}
