package org.cyclamenpaddle.routing.schedule;

import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import org.cyclamenpaddle.core.invariant.Invariants;

/**
 * Timed reservations of a resource that does one thing at a time, such as a link or the compute of
 * a prefill engine.
 *
 * <p>A reservation takes the first gap that is long enough, so that a released one can be used by
 * others without moving any promise made before. Not thread-safe.
 *
 * @param <K> what a reservation is for
 */
public final class SerialSchedule<K> {

    private final Map<K, Interval> mByKey = new HashMap<>();
    private final NavigableMap<Long, Interval> mByStart = new TreeMap<>();

    /**
     * Returns when a gap of {@code durationMillis} begins, not before {@code fromMillis}.
     *
     * @param fromMillis earliest begin
     * @param durationMillis length of the gap, not negative
     */
    public long earliest(long fromMillis, long durationMillis) {
        Map.Entry<Long, Interval> before = mByStart.floorEntry(fromMillis);
        long start =
                before == null ? fromMillis : Math.max(fromMillis, before.getValue().endMillis());
        for (Interval next : mByStart.tailMap(start, true).values()) {
            if (next.startMillis() - start >= durationMillis) {
                return start;
            }
            start = Math.max(start, next.endMillis());
        }
        return start;
    }

    /**
     * Reserves the first gap that is long enough; a key that has a reservation keeps it.
     *
     * @param key what it is for
     * @param fromMillis earliest begin
     * @param durationMillis length, not negative
     */
    public Interval reserve(K key, long fromMillis, long durationMillis) {
        Interval held = mByKey.get(key);
        if (held != null) {
            return held;
        }
        long start = earliest(fromMillis, durationMillis);
        Interval taken = new Interval(start, start + durationMillis);
        mByKey.put(key, taken);
        if (durationMillis > 0) {
            Interval former = mByStart.put(start, taken);
            Invariants.require(
                    former == null, () -> "reservations " + former + " and " + taken + " overlap");
        }
        return taken;
    }

    /** Gives back the reservation of {@code key}, if it has one. */
    public void release(K key) {
        Interval held = mByKey.remove(key);
        if (held != null && held.lengthMillis() > 0) {
            mByStart.remove(held.startMillis());
        }
    }

    /** Returns the reservation of {@code key}. */
    public Optional<Interval> reservation(K key) {
        return Optional.ofNullable(mByKey.get(key));
    }

    /** Returns when the last reservation ends, or {@code nowMillis} if that has passed. */
    public long endOfLast(long nowMillis) {
        Map.Entry<Long, Interval> last = mByStart.lastEntry();
        return last == null ? nowMillis : Math.max(nowMillis, last.getValue().endMillis());
    }

    /** Returns the number of reservations. */
    public int size() {
        return mByKey.size();
    }
}
