package org.cyclamenpaddle.routing.stream;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cyclamenpaddle.core.id.SoftwareVersion;
import org.cyclamenpaddle.core.id.StreamKey;
import org.cyclamenpaddle.core.message.StreamBeginning;

/**
 * Remembers at which software versions streams have begun, for as long as their callers may take
 * them up.
 *
 * <p>What is not remembered is unknown: an entry that was dropped early, or that never arrived,
 * says nothing about its stream. Not thread-safe.
 */
public final class StreamBeginnings {

    /** An entry without a version has been recorded with two of them, and is known to none. */
    private record Entry(Optional<SoftwareVersion> version, long untilMillis) {}

    private final int mMaxEntries;
    private final Map<StreamKey, Entry> mEntries = new LinkedHashMap<>();
    private long mDropped;

    /**
     * Creates an empty memory.
     *
     * @param maxEntries maximum number of streams; beyond it, those recorded longest ago are
     *     dropped
     */
    public StreamBeginnings(int maxEntries) {
        mMaxEntries = maxEntries;
    }

    /**
     * Records the beginning of a stream, or that it has gone on.
     *
     * @param beginning the stream, its version and how long to remember it
     * @param nowMillis current time of the steady clock
     */
    public void record(StreamBeginning beginning, long nowMillis) {
        Optional<Entry> known = entry(beginning.stream(), nowMillis);
        boolean agrees =
                known.map(entry -> entry.version().filter(beginning.version()::equals).isPresent())
                        .orElse(true);
        long until =
                Math.max(
                        nowMillis + beginning.remainingMillis(),
                        known.map(Entry::untilMillis).orElse(Long.MIN_VALUE));
        // Removed first, so that the entry becomes the newest one.
        mEntries.remove(beginning.stream());
        mEntries.put(
                beginning.stream(),
                new Entry(agrees ? Optional.of(beginning.version()) : Optional.empty(), until));
        dropExcess(nowMillis);
    }

    /** Returns the version that began a stream; empty if it is not known. */
    public Optional<SoftwareVersion> find(StreamKey stream, long nowMillis) {
        return entry(stream, nowMillis).flatMap(Entry::version);
    }

    /** Returns all beginnings that are known. */
    public List<StreamBeginning> all(long nowMillis) {
        return mEntries.entrySet().stream()
                .filter(entry -> entry.getValue().untilMillis() > nowMillis)
                .flatMap(
                        entry ->
                                entry.getValue().version().stream()
                                        .map(
                                                version ->
                                                        new StreamBeginning(
                                                                entry.getKey(),
                                                                version,
                                                                entry.getValue().untilMillis()
                                                                        - nowMillis)))
                .toList();
    }

    /** Removes the streams that can no longer be taken up. */
    public void expire(long nowMillis) {
        mEntries.values().removeIf(entry -> entry.untilMillis() <= nowMillis);
    }

    /** Returns the number of streams that are remembered. */
    public int size() {
        return mEntries.size();
    }

    /** Returns the number of streams that were dropped before their time. */
    public long dropped() {
        return mDropped;
    }

    private Optional<Entry> entry(StreamKey stream, long nowMillis) {
        return Optional.ofNullable(mEntries.get(stream))
                .filter(entry -> entry.untilMillis() > nowMillis);
    }

    private void dropExcess(long nowMillis) {
        Iterator<Entry> oldest = mEntries.values().iterator();
        while (mEntries.size() > mMaxEntries) {
            mDropped += oldest.next().untilMillis() > nowMillis ? 1 : 0;
            oldest.remove();
        }
    }
}
