package org.cyclamenpaddle.relay.role;

/**
 * Stored content of the lease on issuing orders.
 *
 * @param holder identifies one incarnation of one host
 * @param fence increases with each change of the holder
 * @param beat increases with each renewal
 */
public record LeaseRecord(String holder, long fence, long beat) {

    /** Maximum fencing token and heartbeat, beyond any that hosts can reach by counting. */
    private static final long MAX_COUNT = 1L << 53;

    public LeaseRecord {
        boolean inRange = fence >= 1 && fence <= MAX_COUNT && beat >= 0 && beat <= MAX_COUNT;
        if (holder == null || holder.isEmpty() || !inRange) {
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
