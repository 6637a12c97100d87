package org.cyclamenpaddle.routing.schedule;

import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Slots and KV cache blocks in use over time, as a step function.
 *
 * <p>Built anew for each query: a backend server has a few dozen reservations, and their expected
 * ends change. Not thread-safe.
 */
public final class UsageProfile {

    private record Use(int slots, int pieces) {

        private static final Use NONE = new Use(0, 0);

        private Use plus(Use other) {
            return new Use(slots + other.slots, pieces + other.pieces);
        }

        private boolean leavesFree(int requiredPieces, int maxSlots, int maxPieces) {
            return slots < maxSlots && pieces + requiredPieces <= maxPieces;
        }
    }

    private final NavigableMap<Long, Use> mChanges = new TreeMap<>();

    /**
     * Adds the use of one slot and some KV cache blocks over an interval.
     *
     * @param startMillis start of use, inclusive
     * @param endMillis end of use, exclusive; nothing is added if not after the start
     * @param pieces KV cache blocks in use
     */
    public void add(long startMillis, long endMillis, int pieces) {
        if (endMillis <= startMillis) {
            return;
        }
        mChanges.merge(startMillis, new Use(1, pieces), Use::plus);
        mChanges.merge(endMillis, new Use(-1, -pieces), Use::plus);
    }

    /**
     * Returns the first time from which one slot and {@code pieces} blocks are free for a given
     * duration.
     *
     * @param fromMillis earliest time
     * @param holdMillis duration for which they must be free
     * @param pieces required KV cache blocks, at most {@code maxPieces}
     * @param maxSlots total slots, at least one
     * @param maxPieces total KV cache blocks
     */
    public long earliest(
            long fromMillis, long holdMillis, int pieces, int maxSlots, int maxPieces) {
        long hold = Math.max(1, holdMillis);
        Use use = Use.NONE;
        long start = fromMillis;
        boolean fits = true;
        for (Map.Entry<Long, Use> change : mChanges.entrySet()) {
            long at = change.getKey();
            if (at > fromMillis && fits && at - start >= hold) {
                return start;
            }
            use = use.plus(change.getValue());
            boolean fitsNow = use.leavesFree(pieces, maxSlots, maxPieces);
            if (fitsNow && !fits) {
                start = Math.max(fromMillis, at);
            }
            fits = fitsNow;
        }
        return start;
    }

    /** Returns the maximum number of slots in use at one time from {@code fromMillis} on. */
    public int peakSlots(long fromMillis) {
        return peak(fromMillis, true);
    }

    /** Returns the maximum number of blocks in use at one time from {@code fromMillis} on. */
    public int peakPieces(long fromMillis) {
        return peak(fromMillis, false);
    }

    private int peak(long fromMillis, boolean ofSlots) {
        Use use = Use.NONE;
        int peak = 0;
        for (Map.Entry<Long, Use> change : mChanges.entrySet()) {
            if (change.getKey() > fromMillis) {
                peak = Math.max(peak, ofSlots ? use.slots() : use.pieces());
            }
            use = use.plus(change.getValue());
        }
        return peak;
    }
}
