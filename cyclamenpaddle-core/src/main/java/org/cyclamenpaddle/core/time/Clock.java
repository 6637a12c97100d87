package org.cyclamenpaddle.core.time;

/**
 * Source of time in milliseconds.
 *
 * <p>The origin is unspecified and differs between hosts, so a reading may be compared only with
 * readings of the same clock. Messages between processes carry durations, never readings.
 */
@FunctionalInterface
public interface Clock {

    /** Returns the milliseconds elapsed since this clock's origin; never decreases. */
    long millis();
}
