package org.cyclamenpaddle.relay.directive;

import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * What a backend server asks of its callers in the head of one response.
 *
 * @param requestsPerSecond maximum rate of requests from all hosts together; empty if the response
 *     names none
 * @param unreadable whether the response does not tell if there is a limit, as where it names a
 *     rate that cannot be read; it neither sets nor lifts a limit
 * @param pauseMillis time for which the server wants no request of this host; empty if it asks for
 *     no such time
 * @param leaving whether the server announces its shutdown
 */
public record Directives(
        OptionalDouble requestsPerSecond,
        boolean unreadable,
        OptionalLong pauseMillis,
        boolean leaving) {

    /** A response that asks for nothing. */
    public static final Directives NONE =
            new Directives(OptionalDouble.empty(), false, OptionalLong.empty(), false);

    public Directives {
        if (requestsPerSecond == null || requestsPerSecond.orElse(0) < 0) {
            throw new IllegalArgumentException(
                    "rate must be empty or at least 0, but is " + requestsPerSecond);
        }
        if (pauseMillis == null || pauseMillis.orElse(0) < 0) {
            throw new IllegalArgumentException(
                    "pause must be empty or at least 0 ms, but is " + pauseMillis);
        }
    }

    /**
     * Returns what is asked for in a response that does not tell whether a limit has ended: one to
     * a call that is no request of a caller, or a failure, which may come from a part of the server
     * that knows no limit.
     */
    public Directives withoutLiftingLimits() {
        boolean unknown = unreadable || requestsPerSecond.isEmpty();
        return new Directives(requestsPerSecond, unknown, pauseMillis, leaving);
    }
}
