package org.cyclamenpaddle.relay.retry;

import org.cyclamenpaddle.relay.route.Route;

/**
 * What bounds the retries of one request.
 *
 * @param repeatable whether it may be sent again after it may have run
 * @param maxAttempts backend servers that it may be sent to
 * @param timeoutMillis longest wait for its final answer
 */
public record RetryLimits(boolean repeatable, int maxAttempts, long timeoutMillis) {

    public RetryLimits {
        if (maxAttempts < 1 || timeoutMillis < 0) {
            throw new IllegalArgumentException(
                    "retries of " + maxAttempts + " attempts in " + timeoutMillis + " ms");
        }
    }

    /**
     * Returns the terms of a request.
     *
     * @param route its route
     * @param callerMillis how long its caller waits
     */
    public static RetryLimits of(Route route, long callerMillis) {
        return new RetryLimits(
                route.repeatable(),
                route.maxAttempts(),
                Math.max(0, Math.min(route.timeoutMillis(), callerMillis)));
    }
}
