package org.cyclamenpaddle.routing.grant;

import org.cyclamenpaddle.core.id.AttemptId;

/**
 * Room that an attempt holds or is promised.
 *
 * @param attempt the attempt
 * @param pieces memory pieces
 * @param startMillis from when on
 * @param endMillis expected end
 * @param seen whether the engine's own list has shown it
 */
record Reservation(AttemptId attempt, int pieces, long startMillis, long endMillis, boolean seen) {

    Reservation observed(int seenPieces) {
        return new Reservation(attempt, Math.max(pieces, seenPieces), startMillis, endMillis, true);
    }

    boolean begun(long nowMillis) {
        return seen || startMillis <= nowMillis;
    }

    /**
     * Returns the expected end as of now.
     *
     * <p>Safeguard: an attempt that runs longer than predicted would else be counted as gone, its
     * slot promised again, and the second request refused by the full engine after its prefill. It
     * counts as held until it is known to have ended.
     */
    long expectedEnd(long nowMillis, long overdueMillis) {
        return Math.max(endMillis, nowMillis + overdueMillis);
    }
}
