package org.cyclamenpaddle.fleet.simulation;

/**
 * Seed and length of the simulations, from system properties.
 *
 * <p>{@code -Dfleet.seed=N} overrides the default seeds, {@code -Dfleet.length=N} runs simulations
 * N times as long.
 */
final class RunOptions {

    private RunOptions() {}

    static long seed(long defaultValue) {
        return Long.getLong("fleet.seed", defaultValue);
    }

    static int length(int defaultValue) {
        return defaultValue * Integer.getInteger("fleet.length", 1);
    }
}
