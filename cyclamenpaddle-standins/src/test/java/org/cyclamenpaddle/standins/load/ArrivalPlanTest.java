package org.cyclamenpaddle.standins.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.Collectors;
import org.cyclamenpaddle.core.text.PromptText;
import org.cyclamenpaddle.standins.deployment.Deployment;
import org.testng.annotations.Test;

public class ArrivalPlanTest {

    @Test
    public void sameSeedGivesTheSamePlan() {
        assertEquals(plan(1), plan(1));
        assertNotEquals(plan(1), plan(2));
    }

    @Test
    public void arrivalsAreOrderedAndHaveTheRequestedRate() {
        List<Long> times =
                plan(3).stream().map(PlannedRequest::atMicros).collect(Collectors.toList());
        assertEquals(times, times.stream().sorted().collect(Collectors.toList()));
        // Expected value 1,000, bound 4 standard deviations; not flaky, since the seed is fixed.
        assertTrue(Math.abs(times.size() - 1_000) < 127, "arrivals " + times.size());
    }

    @Test
    public void promptsShareWholePrefixBlocks() {
        List<List<Long>> hashes =
                plan(4).stream()
                        .map(request -> PromptText.blockHashes(request.prompt()))
                        .filter(blocks -> !blocks.isEmpty())
                        .collect(Collectors.toList());
        long firsts = hashes.stream().map(blocks -> blocks.get(0)).distinct().count();
        assertTrue(firsts * 2 < hashes.size(), firsts + " first blocks of " + hashes.size());
    }

    private static List<PlannedRequest> plan(long seed) {
        return ArrivalPlan.of(Deployment.SABARMATI.workload(), 20, 50, seed);
    }
}
