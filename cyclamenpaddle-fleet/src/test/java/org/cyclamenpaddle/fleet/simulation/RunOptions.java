package org.cyclamenpaddle.fleet.simulation;

/**
 * Seed and length of the random runs, from system properties.
 *
 * <p>{@code -Dfleet.seed=N} replaces the fixed seeds, {@code -Dfleet.length=N} makes the runs N
 * times as long.
 */
final class RunOptions {

    private RunOptions() {}

    static long seed(long fixed) {
        return Long.getLong("fleet.seed", fixed);
    }

    static int length(int fixed) {
        return fixed * Integer.getInteger("fleet.length", 1);
    }
}
