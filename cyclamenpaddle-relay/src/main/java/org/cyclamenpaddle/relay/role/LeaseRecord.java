package org.cyclamenpaddle.relay.role;

/**
 * What the store keeps of the lease on giving orders.
 *
 * @param holder one life of one host
 * @param fencingToken rises with each change of the holder
 * @param heartbeat rises with each renewal
 */
public record LeaseRecord(String holder, long fencingToken, long heartbeat) {

    public LeaseRecord {
        if (holder == null || holder.isEmpty() || fencingToken < 1 || heartbeat < 0) {
            throw new IllegalArgumentException(
                    "lease of "
                            + holder
                            + " with fence "
                            + fencingToken
                            + " and beat "
                            + heartbeat);
        }
    }
}
