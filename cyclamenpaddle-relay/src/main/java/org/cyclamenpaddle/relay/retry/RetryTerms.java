package org.cyclamenpaddle.relay.retry;

import org.cyclamenpaddle.relay.route.Route;

/**
 * What bounds the retries of one request.
 *
 * @param repeatable whether it may be sent again after it may have run
 * @param maxAttempts backend servers that it may be sent to
 * @param patienceMillis longest wait for its final answer
 */
public record RetryTerms(boolean repeatable, int maxAttempts, long patienceMillis) {

    public RetryTerms {
        if (maxAttempts < 1 || patienceMillis < 0) {
            throw new IllegalArgumentException(
                    "retries of " + maxAttempts + " attempts in " + patienceMillis + " ms");
        }
    }

    /**
     * Returns the terms of a request.
     *
     * @param route its route
     * @param callerMillis how long its caller waits
     */
    public static RetryTerms of(Route route, long callerMillis) {
        return new RetryTerms(
                route.repeatable(),
                route.maxAttempts(),
                Math.max(0, Math.min(route.timeoutMillis(), callerMillis)));
    }
}
