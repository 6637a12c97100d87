package org.cyclamenpaddle.relay.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Stream;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.id.TeamName;
import org.cyclamenpaddle.relay.team.Team;
import org.cyclamenpaddle.relay.team.TeamDirectory;
import org.cyclamenpaddle.routing.reservation.Urgency;
import org.testng.annotations.Test;

/** Tests the selection of routes and of their services. */
public class RelayConfigurationTest {

    private static Route route(String name, String host, String prefix, WeightedService... to) {
        return route(name, host, prefix, 2, to);
    }

    private static Route route(
            String name, String host, String prefix, int priority, WeightedService... to) {
        return new Route(
                name,
                host,
                prefix,
                RouteKind.IDEMPOTENT,
                800,
                100,
                2_000,
                priority,
                List.of(to),
                2,
                false,
                false);
    }

    private static WeightedService weighted(String service, int weight) {
        return new WeightedService(new ServiceName(service), weight);
    }

    @Test
    public void longestPrefixOfTheHostWins() {
        RelayConfiguration configuration =
                new RelayConfiguration(
                        3,
                        List.of(
                                route("short", "a.example", "/x/", weighted("s", 1)),
                                route("long", "a.example", "/x/y/", weighted("s", 1)),
                                route("other", "b.example", "/x/y/z/", weighted("s", 1))),
                        List.of(),
                        TeamDirectory.NONE);
        assertEquals(configuration.find("A.example:80", "/x/y/z/1?q").orElseThrow().name(), "long");
        assertEquals(configuration.find("a.example", "/x/q").orElseThrow().name(), "short");
        assertTrue(configuration.find("a.example", "/xy/").isEmpty());
        assertTrue(configuration.find("c.example", "/x/").isEmpty());
    }

    /** Routes of another service, or that get no share of this one, must not count. */
    @Test
    public void urgencyComparesThePrioritiesOfOneService() {
        RelayConfiguration configuration =
                new RelayConfiguration(
                        3,
                        List.of(
                                route("a", "h", "/a/", 0, weighted("s", 1)),
                                route("b", "h", "/b/", 2, weighted("s", 1), weighted("t", 1)),
                                route("c", "h", "/c/", 1, weighted("t", 1), weighted("s", 0))),
                        List.of(),
                        TeamDirectory.NONE);
        assertEquals(configuration.urgency(new ServiceName("s"), 2), new Urgency(2, 1, 0));
        assertEquals(configuration.urgency(new ServiceName("t"), 1), new Urgency(1, 0, 1));
        assertEquals(configuration.urgency(new ServiceName("u"), 1), new Urgency(1, 0, 0));
    }

    /** All requests have the priority of a team, so that no request is less urgent than another. */
    @Test
    public void prioritiesOfTeamsReplaceThoseOfRoutes() {
        Team team = new Team(new TeamName("t"), OptionalInt.of(4), Optional.empty());
        Team without = new Team(new TeamName("u"), OptionalInt.empty(), Optional.empty());
        assertEquals(urgencyOfFour(team), new Urgency(4, 0, 0));
        assertEquals(urgencyOfFour(team, without), new Urgency(4, 1, 0));
    }

    private static Urgency urgencyOfFour(Team... teams) {
        return new RelayConfiguration(
                        3,
                        List.of(route("a", "h", "/a/", 1, weighted("s", 1))),
                        List.of(),
                        TeamDirectory.of(
                                Stream.of(teams)
                                        .map(team -> new TeamDirectory.Entry(team, Set.of()))
                                        .toList()))
                .urgency(new ServiceName("s"), 4);
    }

    @Test
    public void weightsDivideTheRequests() {
        Route split = route("r", "h", "/", weighted("a", 90), weighted("b", 10));
        assertEquals(split.serviceFor(0.0).value(), "a");
        assertEquals(split.serviceFor(0.899).value(), "a");
        assertEquals(split.serviceFor(0.9).value(), "b");
        assertEquals(split.serviceFor(0.9999).value(), "b");
    }

    @Test
    public void prefixWithoutSlashesIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> route("r", "h", "/x", weighted("a", 1)));
        assertThrows(
                IllegalArgumentException.class, () -> route("r", "h", "/x/", weighted("a", 0)));
    }

    @Test
    public void streamsAreRepeatableOnlyIfResumable() {
        assertTrue(RouteKind.STREAM.repeatable(true));
        assertEquals(RouteKind.STREAM.repeatable(false), false);
        assertEquals(RouteKind.AT_MOST_ONCE.repeatable(true), false);
        assertTrue(RouteKind.IDEMPOTENT.repeatable(false));
    }
}
