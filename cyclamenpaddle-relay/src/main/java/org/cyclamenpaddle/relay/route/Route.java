package org.cyclamenpaddle.relay.route;

import java.util.List;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.routing.reservation.CallerLimits;

/**
 * Where requests of one host name and path prefix go, and how they may be treated.
 *
 * @param name for logs
 * @param host host name in lower case, without a port
 * @param pathPrefix begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMillis longest time that a caller is kept waiting
 * @param targetMillis time within which an answer, or a stream's first event, is on time
 * @param silenceMillis time without an event after which callers leave a stream
 * @param priority rank of the requests; 0 is the highest
 * @param services the services behind it, at least one with a weight above 0
 * @param maxAttempts backend servers that one attempt of a caller may be sent to
 * @param resumable whether a stream may go on at another backend server
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
        boolean resumable) {

    public Route {
        if (name == null || host == null || kind == null) {
            throw new IllegalArgumentException("route needs a name, a host and a kind");
        }
        if (pathPrefix == null || !pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
            throw new IllegalArgumentException(
                    "prefix '" + pathPrefix + "' must begin and end with a slash");
        }
        if (timeoutMillis < 1 || targetMillis < 0 || silenceMillis < 0 || maxAttempts < 1) {
            throw new IllegalArgumentException("route " + name + " has a figure out of range");
        }
        services = List.copyOf(services);
        if (services.stream().mapToInt(WeightedService::weight).sum() < 1) {
            throw new IllegalArgumentException("route " + name + " leads to no service");
        }
    }

    /** Returns what callers accept. */
    public CallerLimits terms() {
        return new CallerLimits(targetMillis, silenceMillis);
    }

    /** Returns whether a request may be sent again after it may have run. */
    public boolean repeatable() {
        return kind.repeatable(resumable);
    }

    /**
     * Returns the service that a draw falls on.
     *
     * @param draw evenly distributed from 0, inclusive, to 1, exclusive
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
