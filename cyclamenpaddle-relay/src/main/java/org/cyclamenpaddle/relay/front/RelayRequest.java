package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.common.HttpData;
import java.util.Optional;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.relay.role.Demand;
import org.cyclamenpaddle.relay.role.DemandMeter;
import org.cyclamenpaddle.relay.route.EngineProfile;
import org.cyclamenpaddle.relay.route.Route;
import org.cyclamenpaddle.relay.wire.CallerRequest;
import org.cyclamenpaddle.routing.reservation.ClientRetryDelay;

/**
 * A request on its way, with what its configuration says of it.
 *
 * @param caller what the caller sent
 * @param body its whole body
 * @param route its route
 * @param service the one of the route's services that it goes to
 * @param engine shape of that service's engines; empty for a plain service
 * @param version configuration that all this is taken from
 */
record RelayRequest(
        CallerRequest caller,
        HttpData body,
        Route route,
        ServiceName service,
        Optional<EngineProfile> engine,
        long version) {

    /** Share of a call's target after which it may come back: about another call's work. */
    private static final double CALL_SHARE = 0.5;

    /** Returns the least time after which a refused request should come back. */
    long comeBackMillis(DemandMeter demand) {
        if (engine.isEmpty()) {
            return Math.max(1, (long) (route.targetMillis() * CALL_SHARE));
        }
        double usualMillis = demand.of(service).map(Demand::decodeMillis).orElse(0.0);
        return ClientRetryDelay.minMillis(usualMillis, route.terms());
    }
}
