package org.cyclamenpaddle.fleet.order;

/**
 * Timings of orders; the same on all hosts, as a successor waits out what its predecessor had.
 *
 * @param leaseMillis how long after it took the fence a holder may send an order
 * @param orderMillis longest time from the sending of an order to its last effect
 * @param pollMillis interval between reads of an engine's state
 */
public record OrderSettings(long leaseMillis, long orderMillis, long pollMillis) {

    /** Settings for engines that load a model within half a minute. */
    public static final OrderSettings DEFAULTS = new OrderSettings(5_000, 30_000, 1_000);

    public OrderSettings {
        if (leaseMillis <= 0 || orderMillis <= 0 || pollMillis <= 0) {
            throw new IllegalArgumentException(
                    "lease "
                            + leaseMillis
                            + " ms, order "
                            + orderMillis
                            + " ms and poll "
                            + pollMillis
                            + " ms must be above 0");
        }
    }
}
