package org.cyclamenpaddle.routing.reservation;

/**
 * Latency limits that the callers of a route accept.
 *
 * @param targetMillis target for the time to the first token
 * @param silenceMillis longest time without an event after which a caller disconnects
 */
public record CallerLimits(long targetMillis, long silenceMillis) {

    public CallerLimits {
        if (targetMillis < 0 || silenceMillis < 0) {
            throw new IllegalArgumentException(
                    "caller limits must not be negative: target "
                            + targetMillis
                            + " ms, silence "
                            + silenceMillis);
        }
    }
}
