package org.cyclamenpaddle.relay.host;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cyclamenpaddle.relay.store.StoreEntry;

/**
 * Counts the hosts whose entries change regularly; not thread-safe.
 *
 * <p>Entries do not expire by themselves, and the clocks of different hosts are not compared: only
 * the time for which this host has observed an entry unchanged counts.
 */
final class HostCount {

    /**
     * Time without a change after which a host is not counted, in milliseconds: four missed
     * renewals.
     */
    static final long ALIVE_TIMEOUT_MILLIS = 80_000;

    /**
     * Time without a change after which an entry is removed, in milliseconds; long because nothing
     * depends on the removal.
     */
    static final long REMOVAL_TIMEOUT_MILLIS = 300_000;

    /** Stands for an entry that cannot be read; its host counts until it is stale. */
    private static final HostEntry UNREADABLE =
            new HostEntry(0, Optional.empty(), Optional.empty(), Optional.empty(), "");

    private record Observation(HostEntry entry, long sinceMillis) {}

    private final Map<String, Observation> mObservations = new HashMap<>();

    /** Applies a listing and returns the hosts whose entries should be removed. */
    List<String> applyListing(List<StoreEntry<HostEntry>> entries, long nowMillis) {
        Map<String, Observation> previous = new HashMap<>(mObservations);
        mObservations.clear();
        entries.forEach(
                entry -> {
                    HostEntry host = entry.value().getOrElse(UNREADABLE);
                    Observation old = previous.get(entry.name());
                    boolean unchanged = old != null && old.entry().heartbeat() == host.heartbeat();
                    mObservations.put(
                            entry.name(), unchanged ? old : new Observation(host, nowMillis));
                });
        return mObservations.entrySet().stream()
                .filter(
                        observation ->
                                nowMillis - observation.getValue().sinceMillis()
                                        >= REMOVAL_TIMEOUT_MILLIS)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns the live hosts; none before the first listing. */
    List<LiveHost> liveHosts(long nowMillis) {
        return mObservations.entrySet().stream()
                .filter(
                        observation ->
                                nowMillis - observation.getValue().sinceMillis()
                                        < ALIVE_TIMEOUT_MILLIS)
                .map(
                        observation ->
                                new LiveHost(observation.getKey(), observation.getValue().entry()))
                .toList();
    }
}
