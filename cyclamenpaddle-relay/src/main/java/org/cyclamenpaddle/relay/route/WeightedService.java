package org.cyclamenpaddle.relay.route;

import org.cyclamenpaddle.core.id.ServiceName;

/**
 * Service that receives a share of the requests of a route.
 *
 * @param service the service
 * @param weight its weight, relative to the sum of the route's weights
 */
public record WeightedService(ServiceName service, int weight) {

    public WeightedService {
        if (service == null || weight < 0) {
            throw new IllegalArgumentException("service " + service + " has weight " + weight);
        }
    }
}
