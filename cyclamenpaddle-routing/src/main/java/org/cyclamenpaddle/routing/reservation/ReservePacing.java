package org.cyclamenpaddle.routing.reservation;

/**
 * Paces the reservation requests of one search while engines reject them.
 *
 * <p>Safeguard: a search that pauses only once all engines have rejected it never pauses in a large
 * fleet. Its calls then grow with the number of engines, and under load the hosts spend their
 * processor time on requests that cannot succeed. Sent in rounds with growing pauses, a search
 * costs about the same with six engines and with six hundred.
 *
 * <p>Where a service has several priorities, the pauses of the highest do not grow and those of the
 * others are longer: the next request sent after memory becomes free gets it. Not thread-safe.
 */
public final class ReservePacing {

    /** Reservation requests in a row before a pause. */
    static final int REQUESTS_PER_ROUND = 3;

    /** Maximum pause of a search whose own pauses are shorter, in milliseconds. */
    static final long MAX_PAUSE_MILLIS = 4 * RetryStage.MIN_PAUSE_MILLIS;

    private int mRequestsInRound;
    private int mRounds;

    /** Records that an engine rejected a reservation for lack of capacity. */
    public void rejected() {
        mRequestsInRound++;
    }

    /** Returns whether a pause is due before the next reservation request. */
    public boolean pauseIsDue() {
        return mRequestsInRound >= REQUESTS_PER_ROUND;
    }

    /**
     * Ends a round and returns the pause before the next one, in milliseconds.
     *
     * @param search the search that is paced
     * @param nowMillis current clock reading
     */
    public long pauseMillis(ReservationWait search, long nowMillis) {
        long own = search.pauseMillis(nowMillis);
        int doublings = search.pausesGrow() ? Math.min(mRounds, Integer.SIZE) : 0;
        long grown = Math.min(own << doublings, MAX_PAUSE_MILLIS);
        mRequestsInRound = 0;
        mRounds++;
        return search.orderedPauseMillis(Math.max(own, grown), nowMillis);
    }
}
