package org.cyclamenpaddle.routing.placement;

import static org.cyclamenpaddle.routing.Fixtures.backend;
import static org.cyclamenpaddle.routing.Fixtures.id;
import static org.cyclamenpaddle.routing.Fixtures.placement;
import static org.cyclamenpaddle.routing.Fixtures.random;
import static org.cyclamenpaddle.routing.Fixtures.request;
import static org.cyclamenpaddle.routing.Fixtures.view;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.cyclamenpaddle.core.id.BackendId;
import org.testng.annotations.Test;

public class PlacementPolicyTest {

    private static final PlacementRequest REQUEST = request(1_000, 580);

    private static List<BackendId> decodeOrder(
            PlacementPolicy policy, List<BackendView> servers, long seed) {
        return policy.rankDecode(REQUEST, placement(servers, servers), random(seed), 100).stream()
                .map(Candidate::backend)
                .toList();
    }

    @Test
    public void predictsQueuePrefillAndTransfer() {
        PlacementView servers = placement(List.of(view(1, 250, 0, 50)), List.of());

        Candidate only =
                PlacementPolicy.TIMED_GRANTS.rankPrefill(REQUEST, servers, random(1)).get(0);

        assertEquals(only.predictedMillis(), 200 + 100 + 10);
    }

    @Test
    public void cachedPrefixOutweighsShortQueue() {
        PrefixHints cachedOnTwo = (backend, hashes) -> backend.equals(id(2)) ? 900 : 0;
        PlacementView servers =
                new PlacementView(
                        List.of(view(1, 0, 1, 0), view(2, 40, 1, 0)),
                        List.of(),
                        cachedOnTwo,
                        CostFactors.NEUTRAL,
                        0);

        Candidate best =
                PlacementPolicy.TIMED_GRANTS.rankPrefill(REQUEST, servers, random(1)).get(0);

        assertEquals(best, new Candidate(id(2), 40 + 10 + 10, 900));
    }

    @Test
    public void skipsExcludedAndRanksPossiblyUnreachableLast() {
        BackendView excluded =
                new BackendView(backend(1, 20), Optional.empty(), 0, 0, true, false, 0);
        BackendView suspected =
                new BackendView(backend(2, 20), Optional.empty(), 0, 0, false, true, 0);
        List<BackendView> servers = List.of(excluded, suspected, view(3, 400, 0, 0));

        for (PlacementPolicy policy : PlacementPolicy.values()) {
            assertEquals(decodeOrder(policy, servers, 1), List.of(id(3), id(2)), policy.name());
        }
    }

    @Test
    public void usesRemoteDomainOnlyWhenCheaper() {
        BackendView far =
                new BackendView(backend(2, 20), view(2, 0, 20, 0).hint(), 0, 0, false, false, 30);

        assertEquals(
                decodeOrder(PlacementPolicy.TIMED_GRANTS, List.of(view(1, 0, 10, 0), far), 1),
                List.of(id(1), id(2)));
        assertEquals(
                decodeOrder(PlacementPolicy.TIMED_GRANTS, List.of(view(1, 500, 0, 0), far), 1),
                List.of(id(2), id(1)));
    }

    /**
     * A hundred hosts hold the same hint, which is one heartbeat old, and each places a request
     * before the next hint. If all chose the same server, it would fill up while the others are
     * idle, and callers would be refused although capacity is free.
     */
    @Test
    public void hostsWithTheSameHintSpread() {
        List<BackendView> servers =
                IntStream.range(0, 10).mapToObj(number -> view(number, 0, 10, 200)).toList();
        Map<BackendId, Integer> chosen = new HashMap<>();

        for (int host = 0; host < 100; host++) {
            BackendId best = decodeOrder(PlacementPolicy.TIMED_GRANTS, servers, host).get(0);
            chosen.merge(best, 1, Integer::sum);
        }

        int max = chosen.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        assertTrue(max <= 20, "of 100 requests one server got " + max);
    }

    @Test
    public void roundRobinTakesTurns() {
        List<BackendView> servers = List.of(view(1, 0, 1, 0), view(2, 0, 1, 0));
        PlacementView third =
                new PlacementView(servers, servers, PrefixHints.NONE, CostFactors.NEUTRAL, 3);

        assertEquals(
                PlacementPolicy.ROUND_ROBIN
                        .rankDecode(REQUEST, third, random(1), 0)
                        .get(0)
                        .backend(),
                id(2));
    }

    @Test
    public void twoRandomChoicesTakesLessLoadedOfTwo() {
        List<BackendView> servers = List.of(view(1, 0, 0, 0), view(2, 0, 20, 0));

        for (int seed = 0; seed < 20; seed++) {
            assertEquals(
                    decodeOrder(PlacementPolicy.TWO_RANDOM_CHOICES, servers, seed).get(0), id(2));
        }
    }
}
