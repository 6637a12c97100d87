package org.cyclamenpaddle.relay.role;

/**
 * Stored content of the lease on issuing orders.
 *
 * @param holder identifies one incarnation of one host
 * @param fence increases with each change of the holder
 * @param beat increases with each renewal
 */
public record LeaseRecord(String holder, long fence, long beat) {

    public LeaseRecord {
        if (holder == null || holder.isEmpty() || fence < 1 || beat < 0) {
            throw new IllegalArgumentException(
                    "lease of "
                            + holder
                            + " with fencing token "
                            + fence
                            + " and heartbeat "
                            + beat);
        }
    }
}
