package org.cyclamenpaddle.relay.route;

import org.cyclamenpaddle.core.id.ServiceName;

/**
 * One of the services that a route's requests are spread over.
 *
 * @param service the service
 * @param weight its share of the requests, against the sum of the route's weights
 */
public record WeightedService(ServiceName service, int weight) {

    public WeightedService {
        if (service == null || weight < 0) {
            throw new IllegalArgumentException("service " + service + " has weight " + weight);
        }
    }
}
