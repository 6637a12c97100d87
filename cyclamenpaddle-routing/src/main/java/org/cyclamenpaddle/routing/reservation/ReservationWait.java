package org.cyclamenpaddle.routing.reservation;

/**
 * How often one request asks full engines for a place, and for how long.
 *
 * @param startMillis when the search began
 * @param waitMillis for how long it goes on
 * @param seeker what the request has behind it
 */
public record ReservationWait(long startMillis, long waitMillis, RetryStage seeker) {

    public ReservationWait {
        if (waitMillis < 0 || seeker == null) {
            throw new IllegalArgumentException(
                    "a search of " + seeker + " cannot last " + waitMillis + " ms");
        }
    }

    /**
     * Begins the search of a request.
     *
     * @param nowMillis reading of the clock
     * @param terms what its caller accepts
     * @param seeker what it has behind it
     */
    public static ReservationWait begin(long nowMillis, CallerTerms terms, RetryStage seeker) {
        return new ReservationWait(nowMillis, seeker.waitMillis(terms), seeker);
    }

    /** Returns whether there is time for another ask after a pause. */
    public boolean mayGoOn(long nowMillis) {
        return leftMillis(nowMillis) >= RetryStage.SHORT_PAUSE_MILLIS;
    }

    /** Returns the pause before the next ask, in milliseconds. */
    public long pauseMillis(long nowMillis) {
        return seeker.pauseMillis(leftMillis(nowMillis), waitMillis);
    }

    /** Returns whether the request leaves room for another one beside its own. */
    public boolean yields(long nowMillis) {
        return seeker.yields(leftMillis(nowMillis), waitMillis);
    }

    private long leftMillis(long nowMillis) {
        return startMillis + waitMillis - nowMillis;
    }
}
