package org.cyclamenpaddle.routing.place;

/**
 * How often one request asks full engines for a place, and for how long.
 *
 * @param startMillis when the search began
 * @param waitMillis for how long it goes on
 * @param seeker what the request has behind it
 */
public record PlaceSearch(long startMillis, long waitMillis, Seeker seeker) {

    public PlaceSearch {
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
    public static PlaceSearch begin(long nowMillis, CallerTerms terms, Seeker seeker) {
        return new PlaceSearch(nowMillis, seeker.waitMillis(terms), seeker);
    }

    /** Returns whether there is time for another ask after a pause. */
    public boolean mayGoOn(long nowMillis) {
        return leftMillis(nowMillis) >= Seeker.SHORT_PAUSE_MILLIS;
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
