package org.cyclamenpaddle.routing.schedule;

/**
 * A time interval on one clock.
 *
 * @param startMillis start, inclusive
 * @param endMillis end, exclusive
 */
public record Interval(long startMillis, long endMillis) {

    public Interval {
        if (endMillis < startMillis) {
            throw new IllegalArgumentException(
                    "interval end " + endMillis + " is before its start " + startMillis);
        }
    }

    /** Returns the length in milliseconds. */
    public long lengthMillis() {
        return endMillis - startMillis;
    }
}
