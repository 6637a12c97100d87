package org.cyclamenpaddle.core.time;

/**
 * Source of time in milliseconds.
 *
 * <p>The origin is unspecified and differs between hosts, so a reading is compared only with
 * readings of the same clock. What crosses a process boundary is a duration, never a reading.
 */
@FunctionalInterface
public interface Clock {

    /** Returns the milliseconds passed since this clock's origin; never decreases. */
    long millis();
}
