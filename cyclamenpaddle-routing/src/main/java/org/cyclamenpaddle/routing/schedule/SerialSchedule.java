package org.cyclamenpaddle.routing.schedule;

import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import org.cyclamenpaddle.core.invariant.Invariants;

/**
 * Timed reservations of a resource that handles one task at a time, such as a link or the compute
 * of a prefill engine.
 *
 * <p>A reservation takes the first gap that is long enough, so that the time of a released one can
 * be reused without moving earlier promises. Not thread-safe.
 *
 * @param <K> type of the keys that hold reservations
 */
public final class SerialSchedule<K> {

    private final Map<K, Interval> mByKey = new HashMap<>();
    private final NavigableMap<Long, Interval> mByStart = new TreeMap<>();

    /**
     * Returns the start of the first gap of {@code durationMillis}, not before {@code fromMillis}.
     *
     * @param fromMillis earliest start
     * @param durationMillis length of the gap, not negative
     */
    public long earliest(long fromMillis, long durationMillis) {
        Map.Entry<Long, Interval> previous = mByStart.floorEntry(fromMillis);
        long start =
                previous == null
                        ? fromMillis
                        : Math.max(fromMillis, previous.getValue().endMillis());
        for (Interval next : mByStart.tailMap(start, true).values()) {
            if (next.startMillis() - start >= durationMillis) {
                return start;
            }
            start = Math.max(start, next.endMillis());
        }
        return start;
    }

    /**
     * Reserves the first gap that is long enough; an existing reservation of the key is returned
     * unchanged.
     *
     * @param key holder of the reservation
     * @param fromMillis earliest start
     * @param durationMillis length, not negative
     */
    public Interval reserve(K key, long fromMillis, long durationMillis) {
        Interval held = mByKey.get(key);
        if (held != null) {
            return held;
        }
        long start = earliest(fromMillis, durationMillis);
        Interval reserved = new Interval(start, start + durationMillis);
        mByKey.put(key, reserved);
        if (durationMillis > 0) {
            Interval overlapping = mByStart.put(start, reserved);
            Invariants.require(
                    overlapping == null,
                    () -> "reservations " + overlapping + " and " + reserved + " overlap");
        }
        return reserved;
    }

    /** Releases the reservation of {@code key}, if any. */
    public void release(K key) {
        Interval held = mByKey.remove(key);
        if (held != null && held.lengthMillis() > 0) {
            mByStart.remove(held.startMillis());
        }
    }

    /** Returns the reservation of {@code key}, if any. */
    public Optional<Interval> reservation(K key) {
        return Optional.ofNullable(mByKey.get(key));
    }

    /** Returns the end of the last reservation, or {@code nowMillis} if it has passed. */
    public long endOfLast(long nowMillis) {
        Map.Entry<Long, Interval> last = mByStart.lastEntry();
        return last == null ? nowMillis : Math.max(nowMillis, last.getValue().endMillis());
    }

    /** Returns the number of reservations. */
    public int size() {
        return mByKey.size();
    }
}
