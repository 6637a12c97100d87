package org.cyclamenpaddle.relay.staging;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.BackendStage;
import org.cyclamenpaddle.relay.backend.CostSettings;
import org.cyclamenpaddle.relay.route.EngineShape;
import org.testng.annotations.Test;

/**
 * Tests the split of engines under the loads of the users' heaviest hours.
 *
 * <p>Pattern: steady generations with bursts of twice the rate for some seconds, on pools whose
 * supplied split leaves memory as the limit. Figures are those of the data sheets: 55 prompt tokens
 * in a millisecond, memories of 53,697 and 65,717 tokens, answers of 870 and 590 tokens.
 */
public class StagePlanTest {

    private static final EngineShape LARGE_POOL = new EngineShape(64, 53_697, 500);
    private static final EngineShape SMALL_POOL = new EngineShape(64, 65_717, 500);

    private final StagePlan mPlan = new StagePlan(CostSettings.DEFAULTS);

    private static List<Backend> engines(int prefill, int decode) {
        List<Backend> engines = new ArrayList<>();
        for (int i = 0; i < prefill + decode; i++) {
            engines.add(
                    new Backend(
                            new BackendId("e" + i),
                            1,
                            new ServiceName("reader"),
                            "10.0.0.1",
                            80,
                            new FailureDomain("d" + i % 4),
                            i < prefill ? BackendStage.PREFILL : BackendStage.DECODE,
                            64,
                            false));
        }
        return engines;
    }

    /** Applies changes until the plan is content, and returns the prefill engines left. */
    private long settle(List<Backend> engines, Demand demand, EngineShape shape) {
        List<Backend> now = new ArrayList<>(engines);
        for (int i = 0; i < 50; i++) {
            Optional<StageChange> change = mPlan.next(now, demand, shape);
            if (change.isEmpty()) {
                return now.stream().filter(e -> e.stage() == BackendStage.PREFILL).count();
            }
            now.remove(change.get().engine());
            now.add(change.get().engine().withStage(change.get().stage()));
        }
        throw new AssertionError("the plan never rests");
    }

    @Test
    public void fiveOfThirteenPrefillEnginesBecomeThree() {
        Demand demand = new Demand(5_200, 870, 4_300);
        assertEquals(settle(engines(5, 8), demand, LARGE_POOL), 3);
    }

    @Test
    public void threeOfSixPrefillEnginesBecomeTwo() {
        Demand demand = new Demand(5_200, 590, 3_400);
        assertEquals(settle(engines(3, 3), demand, SMALL_POOL), 2);
    }

    @Test
    public void poolWithoutPrefillGetsOne() {
        assertTrue(settle(engines(0, 6), Demand.USUAL, SMALL_POOL) >= 1);
    }

    @Test
    public void poolOfOneIsLeftAlone() {
        assertEquals(mPlan.next(engines(1, 0), Demand.USUAL, SMALL_POOL), Optional.empty());
    }

    /** From any split the plan comes to rest, and rests within its margin of what is wanted. */
    @Test
    public void everySplitComesToRest() {
        for (int size = 2; size < 70; size++) {
            for (int prefill = 0; prefill <= size; prefill += Math.max(1, size / 5)) {
                long left = settle(engines(prefill, size - prefill), Demand.USUAL, LARGE_POOL);
                double wanted = mPlan.wantedPrefill(size, Demand.USUAL, LARGE_POOL);
                assertTrue(
                        Math.abs(left - wanted) <= StagePlan.MARGIN || left == 1,
                        size + " engines rest at " + left + ", wanted " + wanted);
            }
        }
    }

    /** Each failure domain keeps both kinds as long as it can, for it may be cut off. */
    @Test
    public void engineChangesWhereMostOfItsKindAre() {
        List<Backend> engines = engines(5, 8);
        Backend changed =
                mPlan.next(engines, new Demand(5_200, 870, 4_300), LARGE_POOL)
                        .orElseThrow()
                        .engine();
        assertEquals(changed.domain().value(), "d0");
    }
}
