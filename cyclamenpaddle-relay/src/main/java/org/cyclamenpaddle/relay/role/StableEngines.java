package org.cyclamenpaddle.relay.role;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.relay.backend.Backend;

/**
 * Knows since when each service has had the engines that it has; not thread-safe.
 *
 * <p>Safeguard: at the start of a deployment engines register one after another. A plan made from
 * the first of them ordered one to prefill and, seconds later, back; an engine that changes serves
 * nobody for six seconds, and the callers of that time found too few places.
 */
final class StableEngines {

    /**
     * How long a service's engines must have been the same before they are planned with, in
     * milliseconds: two of their heartbeats, in which all that live have registered.
     */
    static final long SETTLED_MILLIS = 2_500;

    private record Seen(Set<BackendId> engines, long sinceMillis) {}

    private final Map<ServiceName, Seen> mSeen = new HashMap<>();

    /** Notes a service's engines and returns whether they have been these for long enough. */
    boolean settled(ServiceName service, List<Backend> engines, long nowMillis) {
        Set<BackendId> ids =
                engines.stream().map(Backend::id).collect(Collectors.toCollection(HashSet::new));
        Seen seen =
                mSeen.merge(
                        service,
                        new Seen(ids, nowMillis),
                        (old, now) -> old.engines().equals(now.engines()) ? old : now);
        return nowMillis - seen.sinceMillis() >= SETTLED_MILLIS;
    }
}
