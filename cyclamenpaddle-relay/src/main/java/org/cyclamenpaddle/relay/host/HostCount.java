package org.cyclamenpaddle.relay.host;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cyclamenpaddle.relay.store.Entry;

/**
 * Counts the hosts whose entries still change; not thread-safe.
 *
 * <p>Entries do not expire by themselves, and clocks of different hosts are not compared: what
 * counts is how long this host has seen an entry stand still.
 */
final class HostCount {

    /** Stillness after which a host counts no more, in milliseconds: four missed renewals. */
    static final long ALIVE_MILLIS = 80_000;

    /**
     * Stillness after which an entry is removed, in milliseconds; long, as nothing depends on it.
     */
    static final long REMOVE_MILLIS = 300_000;

    private record Seen(long beat, long sinceMillis) {}

    private final Map<String, Seen> mSeen = new HashMap<>();

    /** Takes in a listing and returns the hosts whose entries should be removed. */
    List<String> listed(List<Entry<Long>> entries, long nowMillis) {
        Map<String, Seen> before = new HashMap<>(mSeen);
        mSeen.clear();
        entries.forEach(
                entry -> {
                    long beat = entry.value().getOrElse(0L);
                    Seen old = before.get(entry.name());
                    boolean still = old != null && old.beat() == beat;
                    mSeen.put(entry.name(), still ? old : new Seen(beat, nowMillis));
                });
        return mSeen.entrySet().stream()
                .filter(seen -> nowMillis - seen.getValue().sinceMillis() >= REMOVE_MILLIS)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns the hosts alive; 0 before the first listing. */
    int alive(long nowMillis) {
        return (int)
                mSeen.values().stream()
                        .filter(seen -> nowMillis - seen.sinceMillis() < ALIVE_MILLIS)
                        .count();
    }
}
