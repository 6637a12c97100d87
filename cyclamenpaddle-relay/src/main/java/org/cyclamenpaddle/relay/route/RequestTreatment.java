package org.cyclamenpaddle.relay.route;

import java.util.Optional;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.fleet.ownership.Rendezvous;
import org.cyclamenpaddle.relay.team.Team;

/** Compares how two versions of a configuration treat a request that has been admitted. */
public final class RequestTreatment {

    private static final String SEPARATOR = "|";

    private RequestTreatment() {}

    /**
     * Returns a fingerprint of what a configuration says about a request. API keys and the limits
     * of quotas are left out: they have been applied when the request was admitted.
     *
     * @param engine profile of the engines of its service; empty for a plain service
     */
    public static long fingerprint(
            Route route, ServiceName service, Optional<EngineProfile> engine, Optional<Team> team) {
        return Rendezvous.hash(
                String.join(
                        SEPARATOR,
                        route.toString(),
                        service.value(),
                        engine.toString(),
                        team.map(Team::priority).toString()));
    }
}
