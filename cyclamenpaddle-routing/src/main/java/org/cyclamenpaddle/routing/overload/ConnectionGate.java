package org.cyclamenpaddle.routing.overload;

/**
 * Limits the rate of new connections of a host whose event loop is late.
 *
 * <p>A host serves each request that it has read. If most new connections of many hosts go to one,
 * it reads more than its processor can serve, and all of them are late. A caller whose connection
 * is closed unread sends its request to another host at once.
 *
 * <p>The rate is limited only if the host gets several times as many connections as usual. It
 * starts near the usual rate, is halved with each late measurement and rises while the delay is
 * short. Not thread-safe.
 */
public final class ConnectionGate {

    /** Interval between two measurements of the delay, in milliseconds. */
    public static final long INTERVAL_MILLIS = 50;

    /**
     * Delay of the event loop above which it is late, in milliseconds.
     *
     * <p>Callers abandon a request that is not read for a second, and a request waits for the loop
     * about five times until its response begins.
     */
    static final long MAX_DELAY_MILLIS = 200;

    /**
     * Delay from which a surge is limited, in milliseconds. What is accepted until then delays the
     * loop as well, and a limit of the processor time alone may pause a process for nearly as long.
     */
    static final long SURGE_DELAY_MILLIS = 100;

    /**
     * Time without a late measurement after which the rate may be limited, in milliseconds.
     *
     * <p>A process that has just started is late until its classes are loaded. After a power loss
     * that is so on all hosts, and no caller would find a better one.
     */
    static final long CALM_MILLIS = 5_000;

    /** Time without a closed connection after which the rate is no longer limited. */
    static final long QUIET_MILLIS = 2_000;

    /** Connections at once that are no surge, however few are usual. */
    static final int MIN_SURGE = 10;

    /** Multiple of the usual rate from which connections are a surge. */
    private static final double SURGE = 2;

    /** Lowest rate, in connections per measurement, from which it rises again. */
    private static final double MIN_RATE = 0.1;

    /**
     * Connections per interval that are accepted however late the loop is: one in 2 s. A host that
     * says that it is ready must not refuse everybody for longer than 3 s.
     */
    private static final double MIN_ACCEPTED = 0.025;

    /** Delay below which the rate rises, in milliseconds. */
    private static final long SHORT_DELAY_MILLIS = MAX_DELAY_MILLIS / 2;

    private static final double DECREASE = 0.5;
    private static final double INCREASE = 1.05;

    /** Weight of an interval in the usual rate; about the last ten seconds count. */
    private static final double USUAL_WEIGHT = 0.005;

    private boolean mCalmOnce;
    private boolean mOthersLive;
    private long mMeasuredMillis;
    private long mLastLateMillis;

    /** Connections since the last measurement. */
    private int mArrived;

    /** Connections per interval while the loop is not late. */
    private double mUsualRate;

    private boolean mLimited;
    private boolean mReported;
    private long mLimitedMillis;
    private long mLastClosedMillis;
    private long mClosed;
    private double mRate;
    private double mCredit;

    /** What a measurement reports. */
    public enum Change {
        NONE,
        LIMITED,
        UNLIMITED
    }

    /** Creates a gate that limits nothing. */
    public ConnectionGate(long nowMillis) {
        mMeasuredMillis = nowMillis;
        mLastLateMillis = nowMillis;
    }

    /**
     * Records that the event loop has run a task that was due {@link #INTERVAL_MILLIS} after the
     * last one.
     *
     * @param othersLive whether callers may find another host
     * @param nowMillis current time of the steady clock
     * @return whether the limit has begun or ended since the last measurement
     */
    public Change recordMeasurement(boolean othersLive, long nowMillis) {
        long delayMillis = delayMillis(nowMillis);
        double intervals = Math.max(1, (nowMillis - mMeasuredMillis) / (double) INTERVAL_MILLIS);
        mOthersLive = othersLive;
        mMeasuredMillis = nowMillis;
        if (delayMillis > MAX_DELAY_MILLIS) {
            mLastLateMillis = nowMillis;
        } else if (!mLimited) {
            mUsualRate += USUAL_WEIGHT * (mArrived / intervals - mUsualRate);
        }
        mArrived = 0;
        mCalmOnce |= nowMillis - mLastLateMillis >= CALM_MILLIS;
        return mLimited ? adjust(delayMillis, intervals, nowMillis) : Change.NONE;
    }

    private long delayMillis(long nowMillis) {
        return Math.max(0, nowMillis - mMeasuredMillis - INTERVAL_MILLIS);
    }

    private Change adjust(long delayMillis, double intervals, long nowMillis) {
        if (!mOthersLive || nowMillis - mLastClosedMillis >= QUIET_MILLIS) {
            mLimited = false;
            return mReported ? Change.UNLIMITED : Change.NONE;
        }
        if (delayMillis > MAX_DELAY_MILLIS) {
            mRate = Math.max(MIN_RATE, mRate * DECREASE);
        } else if (delayMillis < SHORT_DELAY_MILLIS) {
            mRate *= INCREASE;
        }
        double added = Math.max(mRate, MIN_ACCEPTED * intervals);
        mCredit = Math.min(Math.max(1, mRate), mCredit + added);
        Change change = mReported ? Change.NONE : Change.LIMITED;
        mReported = true;
        return change;
    }

    /**
     * Decides about a new connection.
     *
     * @return whether to accept it; otherwise it is to be closed before anything of it is read
     */
    public boolean tryAccept(long nowMillis) {
        mArrived++;
        if (!mLimited && isOverloaded(nowMillis)) {
            limit(nowMillis);
        }
        if (mLimited && mCredit < 1) {
            mClosed++;
            mLastClosedMillis = nowMillis;
            return false;
        }
        mCredit -= mLimited ? 1 : 0;
        return true;
    }

    private boolean isOverloaded(long nowMillis) {
        double intervals = (nowMillis - mMeasuredMillis) / (double) INTERVAL_MILLIS;
        return mCalmOnce
                && mOthersLive
                && delayMillis(nowMillis) > SURGE_DELAY_MILLIS
                && mArrived > MIN_SURGE + SURGE * mUsualRate * intervals;
    }

    private void limit(long nowMillis) {
        mLimited = true;
        mReported = false;
        mLimitedMillis = nowMillis;
        mLastClosedMillis = nowMillis;
        mClosed = 0;
        mRate = Math.max(MIN_RATE, SURGE * mUsualRate);
        mCredit = 0;
    }

    /** Returns the permitted connections per second, which hold while the rate is limited. */
    public double perSecond() {
        return mRate * 1_000 / INTERVAL_MILLIS;
    }

    /** Returns the connections closed since the rate was last limited. */
    public long closed() {
        return mClosed;
    }

    /** Returns when the rate was last limited, on the steady clock. */
    public long limitedMillis() {
        return mLimitedMillis;
    }
}
