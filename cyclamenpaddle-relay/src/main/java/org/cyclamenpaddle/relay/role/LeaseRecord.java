package org.cyclamenpaddle.relay.role;

/**
 * What the store keeps of the lease on giving orders.
 *
 * @param holder one life of one host
 * @param fence rises with each change of the holder
 * @param beat rises with each renewal
 */
public record LeaseRecord(String holder, long fence, long beat) {

    public LeaseRecord {
        if (holder == null || holder.isEmpty() || fence < 1 || beat < 0) {
            throw new IllegalArgumentException(
                    "lease of " + holder + " with fence " + fence + " and beat " + beat);
        }
    }
}
