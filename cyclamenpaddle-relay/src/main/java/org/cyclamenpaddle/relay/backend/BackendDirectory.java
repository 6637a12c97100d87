package org.cyclamenpaddle.relay.backend;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.ServiceName;

/**
 * Holds the backend server entries in the store, and those that have recently disappeared from it.
 *
 * <p>Not thread-safe.
 */
public final class BackendDirectory {

    /**
     * Time after the return of the store for which entries that have expired in its outage stay
     * available as a fallback, in milliseconds.
     *
     * <p>Safeguard: while the store is unavailable, the entries of running servers can expire, and
     * all of them disappear at once when the store recovers. Requests would then be rejected
     * although every server is up. Running servers register again within two seconds. A lapsed
     * entry is used only if its service has no other server, so a server that has really stopped
     * receives no requests while its service has another one.
     */
    public static final long LAPSED_RETENTION_MILLIS = 2_000;

    private final Map<BackendId, Backend> mEntries = new HashMap<>();
    private final Map<BackendId, Backend> mLapsed = new HashMap<>();
    private long mLapsedUntilMillis = Long.MIN_VALUE;

    /** Keeps the entries that have lapsed until the store returns from another outage. */
    public void recordOutage(long nowMillis) {
        expireLapsed(nowMillis);
        if (!mLapsed.isEmpty()) {
            mLapsedUntilMillis = Long.MAX_VALUE;
        }
    }

    /** Records that the store has returned from an outage, in which entries may have expired. */
    public void recordReturn(long nowMillis) {
        expireLapsed(nowMillis);
        mLapsedUntilMillis = nowMillis + LAPSED_RETENTION_MILLIS;
    }

    /**
     * Records that there was no outage: this host alone had lost the store, and the entries that
     * were missing afterwards were removed.
     */
    public void recordOwnOutage() {
        mLapsedUntilMillis = Long.MIN_VALUE;
        mLapsed.clear();
    }

    private void expireLapsed(long nowMillis) {
        if (nowMillis >= mLapsedUntilMillis) {
            mLapsed.clear();
        }
    }

    /**
     * Replaces all entries with a complete listing.
     *
     * @param listed all readable entries by id
     * @param nowMillis current time of the steady clock
     */
    public void applyListing(Map<BackendId, Backend> listed, long nowMillis) {
        Set<BackendId> missing = new HashSet<>(mEntries.keySet());
        missing.removeAll(listed.keySet());
        missing.forEach(id -> applyChange(id, Optional.empty(), nowMillis));
        listed.forEach((id, backend) -> applyChange(id, Optional.of(backend), nowMillis));
    }

    /**
     * Applies a change of one entry.
     *
     * @param id id of the entry
     * @param entry the entry; empty if it was removed or cannot be read
     * @param nowMillis current time of the steady clock
     */
    public void applyChange(BackendId id, Optional<Backend> entry, long nowMillis) {
        if (entry.isPresent()) {
            mEntries.put(id, entry.get());
            mLapsed.remove(id);
            return;
        }
        Backend old = mEntries.remove(id);
        if (old != null && !old.draining() && nowMillis < mLapsedUntilMillis) {
            mLapsed.put(id, old);
        }
    }

    /** Returns the servers that accept new requests. */
    public Stream<Backend> usable() {
        return mEntries.values().stream().filter(backend -> !backend.draining());
    }

    /** Returns the servers of a service that accept new requests. */
    public Stream<Backend> usable(ServiceName service) {
        return usable().filter(backend -> backend.service().equals(service));
    }

    /** Returns the servers of a service whose entries have lapsed in an outage of the store. */
    public Stream<Backend> lapsed(ServiceName service, long nowMillis) {
        expireLapsed(nowMillis);
        return mLapsed.values().stream().filter(backend -> backend.service().equals(service));
    }

    /** Returns whether a server is listed, or has lapsed, and accepts new requests. */
    public boolean accepts(Backend backend, long nowMillis) {
        expireLapsed(nowMillis);
        return find(backend.id())
                .or(() -> Optional.ofNullable(mLapsed.get(backend.id())))
                .filter(backend::sameIncarnation)
                .filter(entry -> !entry.draining())
                .isPresent();
    }

    /** Returns the number of current entries, including draining servers. */
    public int size() {
        return mEntries.size();
    }

    /** Returns whether another incarnation is listed under the id or at the address of a server. */
    public boolean isReplaced(Backend backend) {
        return mEntries.values().stream()
                .filter(entry -> !entry.sameIncarnation(backend))
                .anyMatch(
                        entry ->
                                entry.id().equals(backend.id())
                                        || entry.endpoint().equals(backend.endpoint()));
    }

    /** Returns the current entry of a server. */
    public Optional<Backend> find(BackendId id) {
        return Optional.ofNullable(mEntries.get(id));
    }
}
