package org.cyclamenpaddle.routing.reservation;

/**
 * When a generation that found no place is asked to come back.
 *
 * <p>Places come free as generations end. Who comes back before half of a usual generation has
 * passed meets nearly the same ones; after a whole one, most have ended.
 */
public final class ClientRetryDelay {

    /** Share of a usual generation's time after which callers come back at the earliest. */
    private static final double LEAST_SHARE = 0.6;

    /** The same as a share of the silence that callers bear, until generations have ended. */
    private static final double FIRST_SHARE = 0.6;

    private ClientRetryDelay() {}

    /**
     * Returns the least wait; the longest is twice as long.
     *
     * @param generationMillis time that a usual generation takes; 0 if it is not known
     * @param terms of the route
     */
    public static long minMillis(double generationMillis, CallerLimits terms) {
        double millis =
                generationMillis > 0
                        ? generationMillis * LEAST_SHARE
                        : terms.silenceMillis() * FIRST_SHARE;
        return Math.max(1, Math.round(millis));
    }
}
