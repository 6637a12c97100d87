package org.cyclamenpaddle.routing.retry;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Exponential backoff with full jitter.
 *
 * <p>Safeguard: retries with equal delays collide again and fail together; a delay drawn uniformly
 * between zero and the bound spreads them.
 *
 * @param baseMillis upper bound of the first delay
 * @param maxMillis upper bound of every delay
 */
public record Backoff(long baseMillis, long maxMillis) {

    /** Defaults for a first-token target of some hundred milliseconds. */
    public static final Backoff DEFAULTS = new Backoff(10, 1_000);

    private static final int MAX_DOUBLINGS = 30;

    public Backoff {
        if (baseMillis < 1 || maxMillis < baseMillis) {
            throw new IllegalArgumentException(
                    "invalid backoff: base " + baseMillis + " ms, maximum " + maxMillis + " ms");
        }
    }

    /**
     * Draws the delay before a retry, in milliseconds.
     *
     * @param failures failed attempts so far, at least 1
     * @param random source of random numbers
     */
    public long waitMillis(int failures, UniformRandomProvider random) {
        int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, failures - 1));
        long bound = Math.min(maxMillis, baseMillis << doublings);
        return random.nextLong(bound + 1);
    }
}
