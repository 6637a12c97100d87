package org.cyclamenpaddle.relay.route;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.relay.team.TeamDirectory;
import org.cyclamenpaddle.routing.reservation.Urgency;

/** Immutable snapshot of one version of the routes, services and teams. */
public final class RelayConfiguration {

    private static final Comparator<Route> LONGEST_PREFIX_FIRST =
            Comparator.comparing((Route route) -> route.pathPrefix().length()).reversed();

    private final long mVersion;
    private final Map<String, List<Route>> mRoutesByHost;
    private final Map<ServiceName, ServicePolicy> mServices;
    private final Map<ServiceName, Set<Integer>> mPriorities;
    private final TeamDirectory mTeams;

    /**
     * Creates a version.
     *
     * @param version version number; increases with each change, not necessarily by one
     * @param routes routes in any order
     * @param services services with distinct names
     * @param teams teams and their keys
     */
    public RelayConfiguration(
            long version, List<Route> routes, List<ServicePolicy> services, TeamDirectory teams) {
        mVersion = version;
        mTeams = teams;
        mRoutesByHost =
                routes.stream()
                        .sorted(LONGEST_PREFIX_FIRST)
                        .collect(Collectors.groupingBy(Route::host));
        mPriorities =
                routes.stream()
                        .flatMap(route -> priorities(route, teams))
                        .collect(
                                Collectors.groupingBy(
                                        Map.Entry::getKey,
                                        Collectors.mapping(
                                                Map.Entry::getValue, Collectors.toSet())));
        mServices =
                services.stream()
                        .collect(Collectors.toMap(ServicePolicy::name, Function.identity()));
    }

    /** Returns the number of this version. */
    public long version() {
        return mVersion;
    }

    /** Returns the number of routes. */
    public int routes() {
        return mRoutesByHost.values().stream().mapToInt(List::size).sum();
    }

    /**
     * Returns the route of a request: of the routes of its host, the one with the longest prefix.
     *
     * @param authority host name of the request, with or without a port
     * @param path path of the request, with or without a query
     */
    public Optional<Route> find(String authority, String path) {
        int port = authority.lastIndexOf(':');
        String host = port < 0 ? authority : authority.substring(0, port);
        return mRoutesByHost.getOrDefault(host.toLowerCase(Locale.ROOT), List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /**
     * Returns the urgency of a request among the routes of its service.
     *
     * @param service its service
     * @param priority its priority, 0 being the highest
     */
    public Urgency urgency(ServiceName service, int priority) {
        return Urgency.of(priority, mPriorities.getOrDefault(service, Set.of()));
    }

    /** Returns the priorities that requests of a route can have, by service. */
    private static Stream<Map.Entry<ServiceName, Integer>> priorities(
            Route route, TeamDirectory teams) {
        Set<Integer> priorities = new HashSet<>(teams.priorities());
        if (route.publicAccess() || !teams.allHavePriorities()) {
            priorities.add(route.priority());
        }
        return route.services().stream()
                .filter(candidate -> candidate.weight() > 0)
                .flatMap(
                        candidate ->
                                priorities.stream()
                                        .map(each -> Map.entry(candidate.service(), each)));
    }

    /** Returns the teams of this version. */
    public TeamDirectory teams() {
        return mTeams;
    }

    /** Returns the services with engines and the profiles of their engines. */
    public Map<ServiceName, EngineProfile> engineProfiles() {
        return mServices.values().stream()
                .filter(service -> service.engine().isPresent())
                .collect(
                        Collectors.toMap(
                                ServicePolicy::name, service -> service.engine().orElseThrow()));
    }

    /** Returns the profile of a service's engines; empty for a plain or unknown service. */
    public Optional<EngineProfile> engineProfile(ServiceName service) {
        return Optional.ofNullable(mServices.get(service)).flatMap(ServicePolicy::engine);
    }

    /** Returns the path of the health check of a service's servers. */
    public Optional<String> healthPath(ServiceName service) {
        return Optional.ofNullable(mServices.get(service)).flatMap(ServicePolicy::healthPath);
    }
}
