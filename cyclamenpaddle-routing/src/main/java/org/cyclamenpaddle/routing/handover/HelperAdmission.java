package org.cyclamenpaddle.routing.handover;

/**
 * Bounds the work that a host takes over from others.
 *
 * <p>Its own callers come first: while a whole failure domain is cut off, the few hosts that are
 * known to reach a service could get the requests of all others. Not thread-safe.
 */
public final class HelperAdmission {

    /** Requests taken over that may be in flight together. */
    static final int MAX_IN_FLIGHT = 64;

    /** Requests that may be taken over in a second by a host without callers of its own. */
    static final double BASE_PER_SECOND = 50;

    /** Requests that may be taken over for each of the host's own callers. */
    static final double PER_OWN_REQUEST = 4;

    /** Requests that may be taken at once after a quiet time. */
    static final double MAX_SAVED = 64;

    private static final double MILLIS_PER_SECOND = 1_000;

    private double mPermits = MAX_SAVED;
    private int mInFlight;
    private long mUpdatedMillis;

    /**
     * Creates an admission without work.
     *
     * @param nowMillis current time of the steady clock
     */
    public HelperAdmission(long nowMillis) {
        mUpdatedMillis = nowMillis;
    }

    /** Records a request of a caller of this host. */
    public void recordOwn() {
        mPermits = Math.min(MAX_SAVED, mPermits + PER_OWN_REQUEST);
    }

    /** Returns whether a request of another host is taken; {@link #ended} follows if so. */
    public boolean tryTake(long nowMillis) {
        double accrued = (nowMillis - mUpdatedMillis) * BASE_PER_SECOND / MILLIS_PER_SECOND;
        mPermits = Math.min(MAX_SAVED, mPermits + accrued);
        mUpdatedMillis = nowMillis;
        if (mInFlight >= MAX_IN_FLIGHT || mPermits < 1) {
            return false;
        }
        mPermits--;
        mInFlight++;
        return true;
    }

    /** Records that a request that was taken has ended. */
    public void ended() {
        mInFlight--;
    }
}
