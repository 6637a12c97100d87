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
 * Tracks since when the set of engines of each service has been unchanged; not thread-safe.
 *
 * <p>Safeguard: when a deployment starts, engines register one after another. An allocation based
 * on the first of them ordered one engine to prefill and, seconds later, back to decode; an engine
 * that changes its stage serves no requests for six seconds, and callers then found too little
 * capacity.
 */
final class StableEngines {

    /**
     * Time for which a service's engines must be unchanged before they are allocated, in
     * milliseconds: two heartbeats of the engines, in which all running ones have registered.
     */
    static final long STABILIZATION_MILLIS = 2_500;

    private record Observation(Set<BackendId> engines, long sinceMillis) {}

    private final Map<ServiceName, Observation> mObservations = new HashMap<>();

    /** Records a service's engines and returns whether they have been unchanged for long enough. */
    boolean isStable(ServiceName service, List<Backend> engines, long nowMillis) {
        Set<BackendId> ids =
                engines.stream().map(Backend::id).collect(Collectors.toCollection(HashSet::new));
        Observation observation =
                mObservations.merge(
                        service,
                        new Observation(ids, nowMillis),
                        (old, current) -> old.engines().equals(current.engines()) ? old : current);
        return nowMillis - observation.sinceMillis() >= STABILIZATION_MILLIS;
    }
}
