package org.cyclamenpaddle.relay.backend;

/**
 * What the outcomes of this host's own sends say about one backend server.
 *
 * <p>Two signs are kept apart. A server that cannot be reached or breaks off is left out at once
 * for a time that doubles, then gets one trial request. A server that answers, but fails or rejects
 * more than others do, only becomes less attractive: its failures may be the requests' own. Not
 * thread-safe.
 */
final class BackendHealth {

    /** First time out, in milliseconds: a few round trips longer than a restart of a connection. */
    static final long FIRST_EJECTION_MILLIS = 500;

    /** Longest time out, in milliseconds; a crashed server is back after some seconds. */
    static final long LONGEST_EJECTION_MILLIS = 4_000;

    /**
     * Silences in a row that make a server suspect.
     *
     * <p>Safeguard: the time that a request had may have been shorter than its work takes. A route
     * with such a timeout would otherwise keep good servers out for all others.
     */
    static final int SILENCES = 2;

    /** Weight of the newest outcome in the failure rate; about the last ten outcomes count. */
    private static final double NEWEST_WEIGHT = 0.1;

    /** Time after which half of a bad rate is forgotten, in milliseconds. */
    private static final double HALF_LIFE_MILLIS = 5_000;

    private int mSilences;
    private int mSuspicions;
    private long mEjectedUntilMillis = Long.MIN_VALUE;
    private boolean mTrialRunning;
    private final MovingAverage mFailures = new MovingAverage(NEWEST_WEIGHT, HALF_LIFE_MILLIS);

    /** Returns whether new work may go to the server now, a trial included. */
    boolean admits(long nowMillis) {
        return mSuspicions == 0 || nowMillis >= mEjectedUntilMillis && !mTrialRunning;
    }

    /** Notes a send, which is the trial if the server was ejected. */
    void sent() {
        mTrialRunning = mSuspicions > 0;
    }

    /**
     * Notes the outcome of a send.
     *
     * @return whether the server was ejected by it
     */
    boolean ended(SendOutcome outcome, long nowMillis) {
        mTrialRunning = false;
        if (outcome == SendOutcome.ABANDONED) {
            return false;
        }
        if (outcome == SendOutcome.SILENT) {
            mSilences++;
            return mSilences >= SILENCES && eject(nowMillis);
        }
        mSilences = 0;
        mFailures.add(outcome == SendOutcome.SUCCEEDED ? 0 : 1, nowMillis);
        if (!outcome.serverSuspect()) {
            mSuspicions = 0;
            return false;
        }
        return eject(nowMillis);
    }

    /** Returns the share of recent sends that did not succeed, faded by the time since. */
    double failureRate(long nowMillis) {
        return mFailures.at(nowMillis);
    }

    /** Leaves the server out for a time, for a fault that its answers did not show. */
    void suspect(long nowMillis) {
        eject(nowMillis);
    }

    /** Ends the suspicion against a server that has just answered. */
    void alive() {
        mSuspicions = 0;
        mSilences = 0;
        mEjectedUntilMillis = Long.MIN_VALUE;
    }

    private boolean eject(long nowMillis) {
        if (nowMillis < mEjectedUntilMillis) {
            return false;
        }
        long millis =
                Math.min(
                        LONGEST_EJECTION_MILLIS, FIRST_EJECTION_MILLIS << Math.min(mSuspicions, 8));
        mSuspicions++;
        mEjectedUntilMillis = nowMillis + millis;
        return true;
    }
}
