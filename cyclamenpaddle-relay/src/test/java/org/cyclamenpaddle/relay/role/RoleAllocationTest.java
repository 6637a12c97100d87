package org.cyclamenpaddle.relay.role;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.BackendStage;
import org.cyclamenpaddle.relay.route.EngineProfile;
import org.testng.annotations.Test;

/**
 * Tests the split of engines under the loads of the users' heaviest hours.
 *
 * <p>Pattern: steady generations with bursts of twice the rate for some seconds, on pools whose
 * supplied split leaves memory as the limit. Figures are those of the data sheets: 55 prompt tokens
 * in a millisecond, memories of 53,697 and 65,717 tokens, answers of 870 and 590 tokens.
 */
public class RoleAllocationTest {

    private static final EngineProfile LARGE_POOL =
            new EngineProfile(64, 53_697, 500, 2_000, 13, 6_000);
    private static final EngineProfile SMALL_POOL =
            new EngineProfile(64, 65_717, 500, 2_000, 8, 6_000);

    private static final double TOKENS_READ_PER_MILLI = 55;

    private final RoleAllocation mPlan = new RoleAllocation();

    private static Optional<EngineLoad> load(
            double output, double decodeMillis, EngineProfile shape) {
        Demand demand = new Demand(5_200, output, decodeMillis);
        return Optional.of(EngineLoad.of(demand, shape, TOKENS_READ_PER_MILLI));
    }

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
    private int settle(List<Backend> engines, Optional<EngineLoad> load) {
        List<Backend> now = new ArrayList<>(engines);
        for (int i = 0; i < 100; i++) {
            Optional<StageChange> change = mPlan.next(now, load);
            if (change.isEmpty()) {
                return (int) now.stream().filter(e -> e.stage() == BackendStage.PREFILL).count();
            }
            now.remove(change.get().engine());
            now.add(change.get().engine().withStage(change.get().stage()));
        }
        throw new AssertionError("the plan never rests");
    }

    /** Before anything is known of the load, memory is what binds; too many would only read. */
    @Test
    public void suppliedSplitIsBroughtInLineBeforeTheLoadIsKnown() {
        assertEquals(settle(engines(5, 8), Optional.empty()), 3);
        assertEquals(settle(engines(3, 3), Optional.empty()), 2);
        assertEquals(settle(engines(3, 5), Optional.empty()), 2);
    }

    /** The splits that carry most under the heaviest hours are kept once the load is known. */
    @Test
    public void splitThatCarriesItsLoadIsKept() {
        assertEquals(settle(engines(3, 10), load(870, 4_300, LARGE_POOL)), 3);
        assertEquals(settle(engines(2, 4), load(590, 3_400, SMALL_POOL)), 2);
    }

    @Test
    public void poolWithoutPrefillGetsOne() {
        assertTrue(settle(engines(0, 6), Optional.empty()) >= 1);
        assertTrue(settle(engines(0, 6), load(590, 3_400, SMALL_POOL)) >= 1);
    }

    @Test
    public void poolOfOneIsLeftAlone() {
        assertEquals(mPlan.next(engines(1, 0), Optional.empty()), Optional.empty());
    }

    /**
     * From any split the plan comes to rest, and no other split would carry much more than the one
     * at which it rests: callers that wait have no idle engines beside them.
     */
    @Test
    public void everySplitComesToRestWhereNoOtherCarriesMuchMore() {
        EngineLoad load = load(870, 4_300, LARGE_POOL).orElseThrow();
        for (int size = 2; size < 70; size++) {
            int engines = size;
            for (int prefill = 0; prefill <= size; prefill += Math.max(1, size / 5)) {
                int left = settle(engines(prefill, size - prefill), Optional.of(load));
                double best =
                        IntStream.range(1, size)
                                .mapToDouble(split -> RoleAllocation.carried(engines, split, load))
                                .max()
                                .orElseThrow();
                assertTrue(
                        RoleAllocation.carried(size, left, load) * RoleAllocation.GAIN >= best,
                        size + " engines rest at " + left);
            }
        }
    }

    /** Each failure domain keeps both kinds as long as it can, for it may be cut off. */
    @Test
    public void engineChangesWhereMostOfItsKindAre() {
        List<Backend> engines = engines(5, 8);
        Backend changed = mPlan.next(engines, Optional.empty()).orElseThrow().engine();
        assertEquals(changed.domain().value(), "d0");
    }
}
