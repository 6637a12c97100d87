package org.cyclamenpaddle.routing.reservation;

/**
 * Computes the retry delay that a rejected caller is given.
 *
 * <p>Capacity becomes free as generations end. A caller that returns before half of an average
 * generation has passed finds nearly the same ones running; after a full one, most have ended.
 */
public final class CallerRetryDelay {

    /** Minimum retry delay as a share of an average generation's duration. */
    private static final double MIN_GENERATION_SHARE = 0.6;

    /** Minimum retry delay as a share of the silence timeout, until generations have ended. */
    private static final double DEFAULT_SILENCE_SHARE = 0.6;

    private CallerRetryDelay() {}

    /**
     * Returns the minimum retry delay in milliseconds; the maximum is twice as long.
     *
     * @param generationMillis average duration of a generation; 0 if unknown
     * @param limits latency limits of the route
     */
    public static long minMillis(double generationMillis, CallerLimits limits) {
        double millis =
                generationMillis > 0
                        ? generationMillis * MIN_GENERATION_SHARE
                        : limits.silenceMillis() * DEFAULT_SILENCE_SHARE;
        return Math.max(1, Math.round(millis));
    }
}
