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
import org.cyclamenpaddle.core.id.SoftwareVersion;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.BackendStage;
import org.cyclamenpaddle.relay.route.EngineProfile;
import org.testng.annotations.Test;

/**
 * Tests the split of engines under the loads of the users' busiest hours.
 *
 * <p>Load: steady generations with bursts of twice the rate for some seconds, on pools whose
 * supplied split makes memory the bottleneck. The figures come from the data sheets: 55 prompt
 * tokens per millisecond, memories of 53,697 and 65,717 tokens, responses of 870 and 590 tokens.
 */
public class RoleAllocationTest {

    private static final EngineProfile LARGE_POOL =
            new EngineProfile(64, 53_697, 500, 2_000, 13, 6_000);
    private static final EngineProfile SMALL_POOL =
            new EngineProfile(64, 65_717, 500, 2_000, 8, 6_000);

    private static final double PREFILL_TOKENS_PER_MILLI = 55;

    private final RoleAllocation mAllocation = new RoleAllocation();

    private static Optional<GenerationCost> load(
            double output, double decodeMillis, EngineProfile profile) {
        Demand demand = new Demand(5_200, output, decodeMillis);
        return Optional.of(GenerationCost.of(demand, profile, PREFILL_TOKENS_PER_MILLI));
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
                            SoftwareVersion.UNSPECIFIED,
                            i < prefill ? BackendStage.PREFILL : BackendStage.DECODE,
                            64,
                            false));
        }
        return engines;
    }

    private static Backend engine(String id, String version, BackendStage stage) {
        return new Backend(
                new BackendId(id),
                1,
                new ServiceName("reader"),
                "10.0.0.1",
                80,
                new FailureDomain("d"),
                new SoftwareVersion(version),
                stage,
                64,
                false);
    }

    /** Streams of a version cannot go on, as all of its engines prefill. */
    @Test
    public void eachVersionKeepsAnEngineThatDecodes() {
        List<Backend> engines = new ArrayList<>();
        engines.add(engine("e9", "v1", BackendStage.DECODE));
        engines.add(engine("e8", "v1", BackendStage.PREFILL));
        for (int i = 0; i < 4; i++) {
            engines.add(engine("e" + i, "v2", BackendStage.DECODE));
        }
        StageChange change = mAllocation.nextChange(engines, Optional.empty()).orElseThrow();
        assertEquals(change.stage(), BackendStage.PREFILL);
        assertEquals(change.engine().version().value(), "v2");
    }

    /**
     * An engine of another version decodes, while streams of a version without any cannot go on.
     */
    @Test
    public void versionWithoutAnEngineThatDecodesGetsOne() {
        List<Backend> engines = new ArrayList<>();
        engines.add(engine("e1", "v1", BackendStage.PREFILL));
        engines.add(engine("e8", "v2", BackendStage.PREFILL));
        engines.add(engine("e9", "v2", BackendStage.PREFILL));
        engines.add(engine("e7", "v2", BackendStage.DECODE));
        StageChange change = mAllocation.nextChange(engines, Optional.empty()).orElseThrow();
        assertEquals(change.stage(), BackendStage.DECODE);
        assertEquals(change.engine().version().value(), "v1");
    }

    /** Applies changes until none is needed, and returns the number of prefill engines. */
    private int converge(List<Backend> engines, Optional<GenerationCost> load) {
        List<Backend> now = new ArrayList<>(engines);
        for (int i = 0; i < 100; i++) {
            Optional<StageChange> change = mAllocation.nextChange(now, load);
            if (change.isEmpty()) {
                return (int) now.stream().filter(e -> e.stage() == BackendStage.PREFILL).count();
            }
            now.remove(change.get().engine());
            now.add(change.get().engine().withStage(change.get().stage()));
        }
        throw new AssertionError("the allocation does not converge");
    }

    /**
     * Before the load is known, memory is assumed to be the bottleneck; too many engines would only
     * prefill.
     */
    @Test
    public void suppliedSplitIsCorrectedBeforeTheLoadIsKnown() {
        assertEquals(converge(engines(5, 8), Optional.empty()), 3);
        assertEquals(converge(engines(3, 3), Optional.empty()), 2);
        assertEquals(converge(engines(3, 5), Optional.empty()), 2);
    }

    /**
     * The splits with the highest throughput in the busiest hours do not change once the load is
     * known.
     */
    @Test
    public void splitThatCarriesItsLoadIsKept() {
        assertEquals(converge(engines(3, 10), load(870, 4_300, LARGE_POOL)), 3);
        assertEquals(converge(engines(2, 4), load(590, 3_400, SMALL_POOL)), 2);
    }

    @Test
    public void poolWithoutPrefillGetsOne() {
        assertTrue(converge(engines(0, 6), Optional.empty()) >= 1);
        assertTrue(converge(engines(0, 6), load(590, 3_400, SMALL_POOL)) >= 1);
    }

    @Test
    public void poolOfOneIsNotChanged() {
        assertEquals(mAllocation.nextChange(engines(1, 0), Optional.empty()), Optional.empty());
    }

    /**
     * From any split the allocation converges, and no other split would serve far more generations
     * than the one at which it converges; otherwise callers would wait while engines idle.
     */
    @Test
    public void everySplitConvergesNearTheOptimum() {
        GenerationCost load = load(870, 4_300, LARGE_POOL).orElseThrow();
        for (int size = 2; size < 70; size++) {
            int engines = size;
            for (int prefill = 0; prefill <= size; prefill += Math.max(1, size / 5)) {
                int prefillEngines = converge(engines(prefill, size - prefill), Optional.of(load));
                double bestRate =
                        IntStream.range(1, size)
                                .mapToDouble(
                                        split ->
                                                RoleAllocation.generationsPerMilli(
                                                        engines, split, load))
                                .max()
                                .orElseThrow();
                assertTrue(
                        RoleAllocation.generationsPerMilli(size, prefillEngines, load)
                                        * RoleAllocation.MIN_GAIN_FACTOR
                                >= bestRate,
                        size + " engines converge at " + prefillEngines);
            }
        }
    }

    /** Each failure domain keeps both stages as long as possible, because it may be cut off. */
    @Test
    public void engineChangesInDomainWithMostOfItsStage() {
        List<Backend> engines = engines(5, 8);
        Backend changed = mAllocation.nextChange(engines, Optional.empty()).orElseThrow().engine();
        assertEquals(changed.domain().value(), "d0");
    }
}
