package org.cyclamenpaddle.fleet.drain;

/**
 * Timings of a planned stop.
 *
 * @param notReadyMillis how long work is still accepted after readiness is withdrawn, so that the
 *     load balancer notices first
 * @param handOverMillis how long the host keeps responding to peers that do not know of its stop
 *     yet
 */
public record StopSettings(long notReadyMillis, long handOverMillis) {

    /**
     * Default settings, for a load balancer that checks every second and ejects a host after three
     * failures.
     */
    public static final StopSettings DEFAULTS = new StopSettings(5_000, 1_000);

    public StopSettings {
        if (notReadyMillis < 0 || handOverMillis < 0) {
            throw new IllegalArgumentException(
                    "durations of a planned stop must not be negative: "
                            + notReadyMillis
                            + " ms, "
                            + handOverMillis
                            + " ms");
        }
    }
}
