package org.cyclamenpaddle.routing.reservation;

/**
 * What the callers of a route accept.
 *
 * @param targetMillis time in which the first token should come
 * @param silenceMillis time without an event after which they leave
 */
public record CallerLimits(long targetMillis, long silenceMillis) {

    public CallerLimits {
        if (targetMillis < 0 || silenceMillis < 0) {
            throw new IllegalArgumentException(
                    "callers who want a token in "
                            + targetMillis
                            + " ms and leave after "
                            + silenceMillis);
        }
    }
}
