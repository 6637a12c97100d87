package org.cyclamenpaddle.routing.retry;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Exponential backoff with full jitter.
 *
 * <p>Safeguard: retries that wait equally long come back together and fail together; a wait drawn
 * evenly from nothing to the bound spreads them.
 *
 * @param baseMillis bound of the first wait
 * @param maxMillis bound of every wait
 */
public record Backoff(long baseMillis, long maxMillis) {

    /** Bounds fit for a first token target of some hundred milliseconds. */
    public static final Backoff DEFAULTS = new Backoff(10, 1_000);

    private static final int MAX_DOUBLINGS = 30;

    public Backoff {
        if (baseMillis < 1 || maxMillis < baseMillis) {
            throw new IllegalArgumentException(
                    "backoff from " + baseMillis + " to " + maxMillis + " ms is contradictory");
        }
    }

    /**
     * Draws the wait before a retry.
     *
     * @param failures attempts that failed before it, at least 1
     * @param random source of random numbers
     */
    public long waitMillis(int failures, UniformRandomProvider random) {
        int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, failures - 1));
        long bound = Math.min(maxMillis, baseMillis << doublings);
        return random.nextLong(bound + 1);
    }
}
