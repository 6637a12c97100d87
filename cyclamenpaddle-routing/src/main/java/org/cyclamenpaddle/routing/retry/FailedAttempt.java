package org.cyclamenpaddle.routing.retry;

import org.cyclamenpaddle.core.id.ServiceName;

/**
 * A failed attempt, for the decision whether to try again.
 *
 * @param service the service
 * @param failures attempts of the request that failed up to now, this one included
 * @param millisLeft time left until its deadline
 * @param neededMillis time that another attempt is expected to need
 * @param retryAfterMillis wait that the backend server asked for; 0 if none
 */
public record FailedAttempt(
        ServiceName service,
        int failures,
        long millisLeft,
        long neededMillis,
        long retryAfterMillis) {

    public FailedAttempt {
        if (failures < 1) {
            throw new IllegalArgumentException("failures " + failures + " must be above 0");
        }
        if (neededMillis < 0 || retryAfterMillis < 0) {
            throw new IllegalArgumentException(
                    "failed attempt of " + service + " has a negative time");
        }
    }
}
