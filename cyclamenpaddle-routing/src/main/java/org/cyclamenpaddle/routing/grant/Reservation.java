package org.cyclamenpaddle.routing.grant;

import org.cyclamenpaddle.core.id.AttemptId;

/**
 * Capacity that an attempt holds or is promised.
 *
 * @param attempt the attempt
 * @param pieces KV cache blocks
 * @param startMillis start
 * @param endMillis expected end
 * @param observed whether the engine's own list has contained the attempt
 */
record Reservation(
        AttemptId attempt, int pieces, long startMillis, long endMillis, boolean observed) {

    Reservation withObservation(int observedPieces) {
        return new Reservation(
                attempt, Math.max(pieces, observedPieces), startMillis, endMillis, true);
    }

    boolean started(long nowMillis) {
        return observed || startMillis <= nowMillis;
    }

    /**
     * Returns the expected end as of now.
     *
     * <p>Safeguard: an attempt that runs longer than predicted would otherwise count as ended, its
     * slot would be promised again, and the full engine would reject the second request after its
     * prefill. It counts as running until it is known to have ended.
     */
    long expectedEnd(long nowMillis, long overdueMillis) {
        return Math.max(endMillis, nowMillis + overdueMillis);
    }
}
