package org.cyclamenpaddle.routing.place;

/**
 * How often one request asks full engines for a place, and for how long.
 *
 * <p>On six engines under bursts of twice their load, telling first requests from come-backs raised
 * the share of generations in time from 0.66 to 0.81 (docs/adr/0006).
 *
 * @param startMillis when the search began
 * @param waitMillis for how long it goes on
 * @param seeker what the request has behind it
 */
public record PlaceSearch(long startMillis, long waitMillis, Seeker seeker) {

    /**
     * Least time after which callers are asked to come back, in milliseconds.
     *
     * <p>Places come free as generations end, which takes three to five seconds; who comes sooner
     * meets the same full engines. Callers accept a wait of up to a third of their time.
     */
    public static final long COME_BACK_MILLIS = 2_200;

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
     * @param targetMillis time in which its first token should come
     * @param seeker what it has behind it
     */
    public static PlaceSearch begin(long nowMillis, long targetMillis, Seeker seeker) {
        return new PlaceSearch(nowMillis, seeker.waitMillis(targetMillis), seeker);
    }

    /** Returns whether there is time for another ask after a pause. */
    public boolean mayGoOn(long nowMillis) {
        return leftMillis(nowMillis) >= Seeker.SHORT_PAUSE_MILLIS;
    }

    /** Returns the pause before the next ask, in milliseconds. */
    public long pauseMillis(long nowMillis) {
        return seeker.pauseMillis(leftMillis(nowMillis));
    }

    private long leftMillis(long nowMillis) {
        return startMillis + waitMillis - nowMillis;
    }
}
