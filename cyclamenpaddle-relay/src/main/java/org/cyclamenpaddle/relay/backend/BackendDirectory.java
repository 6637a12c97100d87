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
 * The backend servers that the store names, and those that it has just stopped naming.
 *
 * <p>Not thread-safe.
 */
public final class BackendDirectory {

    /**
     * How long an entry that has gone is kept as a last resort, in milliseconds.
     *
     * <p>Safeguard: while the store is away the entries of living servers can lapse, and all of
     * them vanish in one moment when it is back. Callers would be refused though every server is
     * up. Lapsed entries are back within two seconds. A server that really left is given nothing as
     * long as its service has another one, so that this keeps no leaving server busy.
     */
    public static final long LAPSED_MILLIS = 2_000;

    private record Gone(Backend backend, long untilMillis) {}

    private final Map<BackendId, Backend> mNamed = new HashMap<>();
    private final Map<BackendId, Gone> mGone = new HashMap<>();

    /**
     * Takes in a whole listing.
     *
     * @param listed every entry that could be read, by its name
     * @param nowMillis reading of the clock
     */
    public void listed(Map<BackendId, Backend> listed, long nowMillis) {
        Set<BackendId> missing = new HashSet<>(mNamed.keySet());
        missing.removeAll(listed.keySet());
        missing.forEach(id -> changed(id, Optional.empty(), nowMillis));
        listed.forEach((id, backend) -> changed(id, Optional.of(backend), nowMillis));
    }

    /**
     * Takes in one changed entry.
     *
     * @param id its name
     * @param entry the entry; empty if it was removed or cannot be read
     * @param nowMillis reading of the clock
     */
    public void changed(BackendId id, Optional<Backend> entry, long nowMillis) {
        if (entry.isPresent()) {
            mNamed.put(id, entry.get());
            mGone.remove(id);
            return;
        }
        Backend old = mNamed.remove(id);
        if (old != null && !old.draining()) {
            mGone.put(id, new Gone(old, nowMillis + LAPSED_MILLIS));
        }
    }

    /** Returns the servers of a service that may be given new work. */
    public Stream<Backend> usable(ServiceName service) {
        return mNamed.values().stream()
                .filter(backend -> backend.service().equals(service))
                .filter(backend -> !backend.draining());
    }

    /** Returns the servers of a service whose entries have just gone without an announcement. */
    public Stream<Backend> lapsed(ServiceName service, long nowMillis) {
        mGone.values().removeIf(gone -> gone.untilMillis() <= nowMillis);
        return mGone.values().stream()
                .map(Gone::backend)
                .filter(backend -> backend.service().equals(service));
    }

    /** Returns the number of servers named now, leaving ones included. */
    public int size() {
        return mNamed.size();
    }

    /** Returns the entry of a server that is named now. */
    public Optional<Backend> find(BackendId id) {
        return Optional.ofNullable(mNamed.get(id));
    }
}
