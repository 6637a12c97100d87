package org.cyclamenpaddle.relay.role;

/**
 * Stored content of the lease on issuing orders.
 *
 * @param holder identifies one incarnation of one host
 * @param fencingToken increases with each change of the holder
 * @param heartbeat increases with each renewal
 */
public record LeaseRecord(String holder, long fencingToken, long heartbeat) {

    public LeaseRecord {
        if (holder == null || holder.isEmpty() || fencingToken < 1 || heartbeat < 0) {
            throw new IllegalArgumentException(
                    "lease of "
                            + holder
                            + " with fencing token "
                            + fencingToken
                            + " and heartbeat "
                            + heartbeat);
        }
    }
}
