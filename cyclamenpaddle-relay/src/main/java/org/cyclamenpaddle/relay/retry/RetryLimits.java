package org.cyclamenpaddle.relay.retry;

import org.cyclamenpaddle.relay.route.Route;

/**
 * Limits on the retries of one request.
 *
 * @param repeatable whether it may be sent again after it may have run
 * @param maxAttempts maximum number of backend servers that it may be sent to
 * @param timeoutMillis maximum time until its final response, in milliseconds
 */
public record RetryLimits(boolean repeatable, int maxAttempts, long timeoutMillis) {

    public RetryLimits {
        if (maxAttempts < 1 || timeoutMillis < 0) {
            throw new IllegalArgumentException(
                    "retries of " + maxAttempts + " attempts in " + timeoutMillis + " ms");
        }
    }

    /**
     * Returns the limits of a request.
     *
     * @param route its route
     * @param callerMillis timeout of its caller, in milliseconds
     */
    public static RetryLimits of(Route route, long callerMillis) {
        return new RetryLimits(
                route.repeatable(),
                route.maxAttempts(),
                Math.max(0, Math.min(route.timeoutMillis(), callerMillis)));
    }

    /** Returns these limits with no more than the given number of attempts. */
    public RetryLimits withAttempts(int attempts) {
        return new RetryLimits(repeatable, Math.min(maxAttempts, attempts), timeoutMillis);
    }
}
