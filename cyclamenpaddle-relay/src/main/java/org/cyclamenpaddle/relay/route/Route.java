package org.cyclamenpaddle.relay.route;

import java.util.List;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.routing.reservation.CallerLimits;

/**
 * Destination and treatment of requests with one host name and path prefix.
 *
 * @param name name in logs
 * @param host host name in lower case, without a port
 * @param pathPrefix prefix of the path; begins and ends with a slash
 * @param kind determines whether requests may be retried
 * @param timeoutMillis maximum time that a caller waits, in milliseconds
 * @param targetMillis time within which a response, or the first event of a stream, is on time, in
 *     milliseconds
 * @param silenceMillis time without an event after which callers abandon a stream, in milliseconds
 * @param priority priority of the requests; 0 is the highest
 * @param services services that handle the requests; at least one has a weight above 0
 * @param maxAttempts maximum number of backend servers that one attempt of a caller may be sent to
 * @param resumable whether a stream may resume on another backend server
 * @param publicAccess whether requests need no API key
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        long timeoutMillis,
        long targetMillis,
        long silenceMillis,
        int priority,
        List<WeightedService> services,
        int maxAttempts,
        boolean resumable,
        boolean publicAccess) {

    public Route {
        if (name == null || host == null || kind == null) {
            throw new IllegalArgumentException("route needs a name, a host and a kind");
        }
        if (pathPrefix == null || !pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
            throw new IllegalArgumentException(
                    "path prefix '" + pathPrefix + "' must begin and end with a slash");
        }
        if (timeoutMillis < 1 || targetMillis < 0 || silenceMillis < 0 || maxAttempts < 1) {
            throw new IllegalArgumentException(
                    "route "
                            + name
                            + " has a timeout, target, silence or attempt limit out of range");
        }
        services = List.copyOf(services);
        if (services.stream().mapToInt(WeightedService::weight).sum() < 1) {
            throw new IllegalArgumentException(
                    "route " + name + " needs a service with a weight above 0");
        }
    }

    /** Returns the latency that callers accept. */
    public CallerLimits terms() {
        return new CallerLimits(targetMillis, silenceMillis);
    }

    /** Returns whether requests may go to a service. */
    public boolean hasService(ServiceName service) {
        return services.stream()
                .anyMatch(each -> each.weight() > 0 && each.service().equals(service));
    }

    /** Returns whether a request may be sent again after it may have run. */
    public boolean repeatable() {
        return kind.repeatable(resumable);
    }

    /**
     * Returns the service selected by a random value.
     *
     * @param draw uniformly distributed from 0, inclusive, to 1, exclusive
     */
    public ServiceName serviceFor(double draw) {
        int total = services.stream().mapToInt(WeightedService::weight).sum();
        int point = (int) (draw * total);
        for (WeightedService candidate : services) {
            point -= candidate.weight();
            if (point < 0) {
                return candidate.service();
            }
        }
        throw new IllegalArgumentException("draw " + draw + " is not below 1");
    }
}
