package org.cyclamenpaddle.routing.reservation;

import java.util.OptionalLong;

/**
 * How often one request asks full engines for a place, and for how long.
 *
 * @param startMillis when the search began
 * @param waitMillis for how long it goes on
 * @param stage what the request has behind it
 */
public record ReservationWait(long startMillis, long waitMillis, RetryStage stage) {

    public ReservationWait {
        if (waitMillis < 0 || stage == null) {
            throw new IllegalArgumentException(
                    "a search of " + stage + " cannot last " + waitMillis + " ms");
        }
    }

    /**
     * Begins the search of a request.
     *
     * @param nowMillis reading of the clock
     * @param terms what its caller accepts
     * @param stage what it has behind it
     */
    public static ReservationWait begin(long nowMillis, CallerLimits terms, RetryStage stage) {
        return new ReservationWait(nowMillis, stage.waitMillis(terms), stage);
    }

    /** Returns whether there is time for another ask after a pause. */
    public boolean mayRetry(long nowMillis) {
        return leftMillis(nowMillis) >= RetryStage.SHORT_PAUSE_MILLIS;
    }

    /** Returns the pause before the next ask, in milliseconds. */
    public long pauseMillis(long nowMillis) {
        return stage.pauseMillis(leftMillis(nowMillis), waitMillis);
    }

    /**
     * Returns the memory that the request leaves for another one beside its own.
     *
     * <p>Room for a usual request suffices: a large one that left as much again as it needs itself
     * would wait for an engine that is nearly empty.
     *
     * @param nowMillis reading of the clock
     * @param ownTokens memory that the request needs
     * @param usualTokens memory that a usual request needs; empty if that is not known
     */
    public long headroomTokens(long nowMillis, long ownTokens, OptionalLong usualTokens) {
        return yields(nowMillis) ? Math.min(ownTokens, usualTokens.orElse(ownTokens)) : 0;
    }

    /** Returns whether the request leaves room for another one beside its own. */
    boolean yields(long nowMillis) {
        return stage.yields(leftMillis(nowMillis), waitMillis);
    }

    private long leftMillis(long nowMillis) {
        return startMillis + waitMillis - nowMillis;
    }
}
