package org.cyclamenpaddle.fleet.order;

/**
 * Timings of orders; must be the same on all hosts, as a successor waits for the end of its
 * predecessor's lease.
 *
 * @param leaseMillis duration of the lease from acquiring the fencing token, within which the
 *     holder may send orders
 * @param orderMillis maximum time from sending an order to its last effect
 * @param pollMillis interval between reads of an engine's state
 */
public record OrderSettings(long leaseMillis, long orderMillis, long pollMillis) {

    /** Default settings, for engines that load a model within 30 seconds. */
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
