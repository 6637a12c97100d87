package org.cyclamenpaddle.fleet.drain;

/**
 * Timings of a planned stop.
 *
 * @param notReadyMillis how long work is still taken, so that the balancer notices first
 * @param handOverMillis how long the host stays to answer peers that have not heard of its leaving
 */
public record StopSettings(long notReadyMillis, long handOverMillis) {

    /** Settings for a balancer that checks every second and gives up after three failures. */
    public static final StopSettings DEFAULTS = new StopSettings(5_000, 1_000);

    public StopSettings {
        if (notReadyMillis < 0 || handOverMillis < 0) {
            throw new IllegalArgumentException(
                    "times of a stop must not be negative: "
                            + notReadyMillis
                            + " ms, "
                            + handOverMillis
                            + " ms");
        }
    }
}
