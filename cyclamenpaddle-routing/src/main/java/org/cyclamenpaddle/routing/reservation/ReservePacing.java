package org.cyclamenpaddle.routing.reservation;

/**
 * Spaces the asks of one search while engines turn it away.
 *
 * <p>Safeguard: before many engines a search that pauses only when all have turned it away never
 * pauses. Its calls then grow with the number of engines, and under load the hosts spend their
 * processor time on asks that cannot succeed. Asked in rounds with growing pauses, a search costs
 * about the same before six engines and before six hundred. Not thread-safe.
 */
public final class ReservePacing {

    /** Asks in a row before a pause. */
    static final int ROUND_ASKS = 3;

    /** Longest pause of a search whose own pauses are shorter, in milliseconds. */
    static final long LONGEST_PAUSE_MILLIS = 4 * RetryStage.SHORT_PAUSE_MILLIS;

    private int mAsks;
    private int mRounds;

    /** Notes that an engine had no room. */
    public void rejected() {
        mAsks++;
    }

    /** Returns whether a pause comes before the next ask. */
    public boolean pauseIsDue() {
        return mAsks >= ROUND_ASKS;
    }

    /**
     * Ends a round and returns the pause before the next one, in milliseconds.
     *
     * @param search the search that is spaced
     * @param nowMillis reading of the clock
     */
    public long pauseMillis(ReservationWait search, long nowMillis) {
        long own = search.pauseMillis(nowMillis);
        long grown = Math.min(own << Math.min(mRounds, Integer.SIZE), LONGEST_PAUSE_MILLIS);
        mAsks = 0;
        mRounds++;
        return Math.max(own, grown);
    }
}
