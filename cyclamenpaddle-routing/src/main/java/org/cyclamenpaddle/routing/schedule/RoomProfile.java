package org.cyclamenpaddle.routing.schedule;

import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Slots and memory pieces in use over time, as a step function.
 *
 * <p>Built from scratch for each question: a backend server holds a few dozen reservations, and
 * their expected ends move. Not thread-safe.
 */
public final class RoomProfile {

    private record Use(int slots, int pieces) {

        private static final Use NONE = new Use(0, 0);

        private Use plus(Use other) {
            return new Use(slots + other.slots, pieces + other.pieces);
        }

        private boolean leaves(int wantedPieces, int maxSlots, int maxPieces) {
            return slots < maxSlots && pieces + wantedPieces <= maxPieces;
        }
    }

    private final NavigableMap<Long, Use> mChanges = new TreeMap<>();

    /**
     * Adds one slot and some pieces in use.
     *
     * @param startMillis first instant of use
     * @param endMillis first instant after it; nothing is added if not after the start
     * @param pieces memory pieces in use
     */
    public void add(long startMillis, long endMillis, int pieces) {
        if (endMillis <= startMillis) {
            return;
        }
        mChanges.merge(startMillis, new Use(1, pieces), Use::plus);
        mChanges.merge(endMillis, new Use(-1, -pieces), Use::plus);
    }

    /**
     * Returns the first instant from which one slot and {@code pieces} are free for a time.
     *
     * @param fromMillis earliest instant
     * @param holdMillis how long they must be free
     * @param pieces pieces wanted, at most {@code maxPieces}
     * @param maxSlots slots there are, at least one
     * @param maxPieces pieces there are
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
            boolean fitsNow = use.leaves(pieces, maxSlots, maxPieces);
            if (fitsNow && !fits) {
                start = Math.max(fromMillis, at);
            }
            fits = fitsNow;
        }
        return start;
    }

    /** Returns the most slots in use at one instant from {@code fromMillis} on. */
    public int peakSlots(long fromMillis) {
        return peak(fromMillis, true);
    }

    /** Returns the most pieces in use at one instant from {@code fromMillis} on. */
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
