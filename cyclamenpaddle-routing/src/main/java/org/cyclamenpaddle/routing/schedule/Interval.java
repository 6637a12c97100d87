package org.cyclamenpaddle.routing.schedule;

/**
 * A span of time on one clock.
 *
 * @param startMillis first instant
 * @param endMillis first instant after it
 */
public record Interval(long startMillis, long endMillis) {

    public Interval {
        if (endMillis < startMillis) {
            throw new IllegalArgumentException(
                    "interval ends at " + endMillis + " before its start " + startMillis);
        }
    }

    /** Returns the length in milliseconds. */
    public long lengthMillis() {
        return endMillis - startMillis;
    }
}
