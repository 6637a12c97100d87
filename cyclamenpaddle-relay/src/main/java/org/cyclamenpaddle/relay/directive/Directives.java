package org.cyclamenpaddle.relay.directive;

import java.util.OptionalDouble;

/**
 * What a backend server asks of its callers in the head of one response.
 *
 * @param requestsPerSecond maximum rate of requests from all hosts together; empty if the response
 *     names none
 * @param unreadable whether the response names a rate that cannot be read; it neither sets nor
 *     lifts a limit
 */
public record Directives(OptionalDouble requestsPerSecond, boolean unreadable) {

    /** A response that asks for nothing. */
    public static final Directives NONE = new Directives(OptionalDouble.empty(), false);

    public Directives {
        if (requestsPerSecond == null || requestsPerSecond.orElse(0) < 0) {
            throw new IllegalArgumentException(
                    "rate must be empty or at least 0, but is " + requestsPerSecond);
        }
    }
}
