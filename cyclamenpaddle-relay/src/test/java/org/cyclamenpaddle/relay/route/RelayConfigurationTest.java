package org.cyclamenpaddle.relay.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.relay.team.TeamDirectory;
import org.testng.annotations.Test;

/** Tests the selection of routes and of their services. */
public class RelayConfigurationTest {

    private static Route route(String name, String host, String prefix, WeightedService... to) {
        return new Route(
                name,
                host,
                prefix,
                RouteKind.IDEMPOTENT,
                800,
                100,
                2_000,
                2,
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
