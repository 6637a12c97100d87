package org.cyclamenpaddle.routing.place;

/**
 * How often one request asks full engines for a place, and for how long.
 *
 * <p>When more requests come than engines can hold, hosts compete for each place that comes free;
 * whoever asks next after it has come free gets it. So the pauses between asks decide who is served
 * in time. A request of its first time can still meet its target and asks often. One that comes
 * back has missed it, and every place that it gets makes another one late: it asks rarely, and
 * often only at the end of its wait, when it would otherwise be refused for good.
 *
 * <p>On six engines under bursts of twice their load this raised the share of generations in time
 * from 0.66 to 0.81 (docs/adr/0006).
 *
 * @param startMillis when the search began
 * @param waitMillis for how long it goes on
 * @param comesBack whether the request was refused before
 */
public record PlaceSearch(long startMillis, long waitMillis, boolean comesBack) {

    /**
     * Least time after which callers are asked to come back, in milliseconds.
     *
     * <p>Places come free as generations end, which takes three to five seconds; who comes sooner
     * meets the same full engines. Callers accept a wait of up to a third of their time.
     */
    public static final long COME_BACK_MILLIS = 2_200;

    /**
     * Pause of a request of its first time, in milliseconds: in a full pool of four engines a place
     * comes free about every 90 ms, and an ask takes 3 to 8.
     */
    static final long FIRST_PAUSE_MILLIS = 25;

    /**
     * Pause of a request that comes back, in milliseconds.
     *
     * <p>There are then up to five of them for one of its first time; at a sixteenth of its rate
     * they get about a quarter of the places.
     */
    static final long BACK_PAUSE_MILLIS = 400;

    /**
     * Time before its end from which a request that comes back asks as often as others, in
     * milliseconds: in it about seven places come free in a pool of four engines.
     */
    static final long BACK_HURRY_MILLIS = 600;

    /**
     * Share of the target that a request of its first time may spend on finding a place: what is
     * left suffices to read the prompt and make the first token.
     */
    private static final double FIRST_WAIT_SHARE = 0.55;

    /**
     * Wait of a request that comes back, in milliseconds: callers leave a stream that has not begun
     * after 3.6 s, and reading its prompt takes up to half a second of it.
     */
    private static final long BACK_WAIT_MILLIS = 2_800;

    public PlaceSearch {
        if (waitMillis < 0) {
            throw new IllegalArgumentException("a search cannot last " + waitMillis + " ms");
        }
    }

    /**
     * Begins the search of a request.
     *
     * @param nowMillis reading of the clock
     * @param targetMillis time in which its first token should come
     * @param comesBack whether it was refused before
     */
    public static PlaceSearch begin(long nowMillis, long targetMillis, boolean comesBack) {
        long wait = comesBack ? BACK_WAIT_MILLIS : (long) (targetMillis * FIRST_WAIT_SHARE);
        return new PlaceSearch(nowMillis, wait, comesBack);
    }

    /** Returns whether there is time for another ask after a pause. */
    public boolean mayGoOn(long nowMillis) {
        return nowMillis + FIRST_PAUSE_MILLIS <= startMillis + waitMillis;
    }

    /** Returns the pause before the next ask, in milliseconds. */
    public long pauseMillis(long nowMillis) {
        if (!comesBack) {
            return FIRST_PAUSE_MILLIS;
        }
        long calmMillis = startMillis + waitMillis - BACK_HURRY_MILLIS - nowMillis;
        return Math.max(FIRST_PAUSE_MILLIS, Math.min(BACK_PAUSE_MILLIS, calmMillis));
    }
}
