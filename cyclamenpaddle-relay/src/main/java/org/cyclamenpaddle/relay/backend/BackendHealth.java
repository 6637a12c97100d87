package org.cyclamenpaddle.relay.backend;

/**
 * Tracks the health of one backend server from the outcomes of this host's own sends.
 *
 * <p>Two signals are separate. A server that cannot be reached or breaks a connection is ejected
 * immediately for a time that doubles with each ejection, then receives one probe request. A server
 * that responds, but fails or rejects more often than others, only gets a higher cost, because the
 * failures may be caused by the requests themselves. Not thread-safe.
 */
final class BackendHealth {

    /**
     * Duration of the first ejection, in milliseconds; a few round trips longer than a reconnect.
     */
    static final long BASE_EJECTION_MILLIS = 500;

    /** Maximum ejection duration, in milliseconds; a crashed server is back after some seconds. */
    static final long MAX_EJECTION_MILLIS = 4_000;

    /**
     * Consecutive timeouts after which a server is ejected.
     *
     * <p>Safeguard: the timeout of a request may be shorter than its work takes. Without this
     * threshold a route with such a timeout would eject healthy servers for all other routes.
     */
    static final int CONSECUTIVE_TIMEOUTS_TO_EJECT = 2;

    /** Weight of the newest outcome in the failure rate; about the last ten outcomes count. */
    private static final double NEWEST_WEIGHT = 0.1;

    /** Half-life of the failure rate, in milliseconds. */
    private static final double HALF_LIFE_MILLIS = 5_000;

    private int mConsecutiveTimeouts;
    private int mConsecutiveEjections;
    private long mEjectedUntilMillis = Long.MIN_VALUE;
    private boolean mProbeInFlight;
    private final MovingAverage mFailureRate = new MovingAverage(NEWEST_WEIGHT, HALF_LIFE_MILLIS);

    /** Returns whether the server may receive a new request now, including a probe. */
    boolean admits(long nowMillis) {
        return mConsecutiveEjections == 0 || nowMillis >= mEjectedUntilMillis && !mProbeInFlight;
    }

    /** Records a send; it is the probe if the server was ejected. */
    void recordSend() {
        mProbeInFlight = mConsecutiveEjections > 0;
    }

    /**
     * Records the outcome of a send.
     *
     * @return whether the outcome ejected the server
     */
    boolean recordOutcome(SendOutcome outcome, long nowMillis) {
        mProbeInFlight = false;
        if (!outcome.concernsHealth()) {
            return false;
        }
        if (outcome == SendOutcome.SILENT) {
            return recordSilence(nowMillis);
        }
        mConsecutiveTimeouts = 0;
        mFailureRate.add(outcome == SendOutcome.SUCCEEDED ? 0 : 1, nowMillis);
        if (!outcome.serverSuspect()) {
            mConsecutiveEjections = 0;
            return false;
        }
        return eject(nowMillis);
    }

    /**
     * Returns the share of recent sends that did not succeed, decayed by the time since the last
     * one.
     */
    double failureRate(long nowMillis) {
        return mFailureRate.value(nowMillis);
    }

    /** Ejects the server for a fault that its responses did not show. */
    void recordSuspicion(long nowMillis) {
        eject(nowMillis);
    }

    /**
     * Records that the server has sent nothing for one request in time, whether that goes on or
     * not.
     *
     * @return whether that ejected the server
     */
    boolean recordSilence(long nowMillis) {
        mConsecutiveTimeouts++;
        return mConsecutiveTimeouts >= CONSECUTIVE_TIMEOUTS_TO_EJECT && eject(nowMillis);
    }

    /** Ends the ejection of a server that has just responded. */
    void recordAlive() {
        mConsecutiveEjections = 0;
        mConsecutiveTimeouts = 0;
        mEjectedUntilMillis = Long.MIN_VALUE;
    }

    private boolean eject(long nowMillis) {
        if (nowMillis < mEjectedUntilMillis) {
            return false;
        }
        long millis =
                Math.min(
                        MAX_EJECTION_MILLIS,
                        BASE_EJECTION_MILLIS << Math.min(mConsecutiveEjections, 8));
        mConsecutiveEjections++;
        mEjectedUntilMillis = nowMillis + millis;
        return true;
    }
}
