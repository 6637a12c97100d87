package org.cyclamenpaddle.relay.role;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.SoftwareVersion;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.BackendStage;

/**
 * Calculates how many of a service's engines should prefill, and which engine changes next.
 *
 * <p>A prompt takes an engine's time; a generation takes its memory for as long as it runs. The
 * engines are divided so that both pools together serve the maximum number of generations per
 * second: each surplus engine in one pool is missing in the other, where callers then wait.
 */
public final class RoleAllocation {

    /**
     * Maximum share of its time that a prefill engine is busy; at this share, prompts wait twice as
     * long.
     */
    static final double MAX_PREFILL_UTILIZATION = 0.8;

    /**
     * Maximum share of its memory that a decode engine may use; the rest is reserved for growth.
     */
    static final double MAX_DECODE_UTILIZATION = 0.85;

    /** Number of engines per prefill engine until the demand is known. */
    static final int INITIAL_ENGINES_PER_PREFILL_ENGINE = 5;

    /**
     * Factor by which the throughput of a new split must exceed that of the current one before an
     * engine changes.
     *
     * <p>Safeguard: an engine that changes its stage serves no requests for some seconds. Without
     * this margin the allocation would follow the noise in the demand and engines would change
     * continually.
     */
    static final double MIN_GAIN_FACTOR = 1.5;

    /**
     * Returns the next change of stage.
     *
     * @param engines engines of the service, with their current or pending stages
     * @param cost cost of a mean generation; empty until it is known
     * @return the change; empty if none is needed
     */
    public Optional<StageChange> nextChange(List<Backend> engines, Optional<GenerationCost> cost) {
        if (engines.size() < 2) {
            return Optional.empty();
        }
        int prefill = (int) count(engines, BackendStage.PREFILL);
        int target = targetPrefillEngines(engines.size(), prefill, cost);
        if (prefill > target) {
            return change(engines, BackendStage.PREFILL, BackendStage.DECODE);
        }
        return prefill < target
                ? change(engines, BackendStage.DECODE, BackendStage.PREFILL)
                : Optional.empty();
    }

    /** Returns how many of {@code engines} should prefill, from 1 to all but one. */
    int targetPrefillEngines(int engines, int prefill, Optional<GenerationCost> cost) {
        if (cost.isEmpty()) {
            return Math.max(
                    1,
                    (engines + INITIAL_ENGINES_PER_PREFILL_ENGINE - 1)
                            / INITIAL_ENGINES_PER_PREFILL_ENGINE);
        }
        int bestSplit =
                IntStream.range(1, engines)
                        .boxed()
                        .max(
                                Comparator.comparing(
                                        split -> generationsPerMilli(engines, split, cost.get())))
                        .orElse(1);
        boolean valid = prefill >= 1 && prefill < engines;
        double currentRate = valid ? generationsPerMilli(engines, prefill, cost.get()) : 0;
        return generationsPerMilli(engines, bestSplit, cost.get()) > currentRate * MIN_GAIN_FACTOR
                ? bestSplit
                : prefill;
    }

    /** Returns the generations per millisecond that a split can serve. */
    static double generationsPerMilli(int engines, int prefill, GenerationCost cost) {
        double prefillRate = prefill * MAX_PREFILL_UTILIZATION / cost.prefillMillis();
        double decodeRate =
                (engines - prefill) * MAX_DECODE_UTILIZATION / cost.decodeMemoryMillis();
        return Math.min(prefillRate, decodeRate);
    }

    private static Optional<StageChange> change(
            List<Backend> engines, BackendStage from, BackendStage to) {
        Map<FailureDomain, Long> perDomain =
                engines.stream()
                        .filter(engine -> engine.stage() == from)
                        .collect(Collectors.groupingBy(Backend::domain, Collectors.counting()));
        Map<SoftwareVersion, Long> decodeEngines =
                engines.stream()
                        .filter(engine -> engine.stage() == BackendStage.DECODE)
                        .collect(Collectors.groupingBy(Backend::version, Collectors.counting()));
        // Streams go on at engines of their version only, so each version needs one that decodes.
        Function<Backend, Boolean> keepsVersionsServed =
                engine ->
                        from == BackendStage.DECODE
                                ? decodeEngines.get(engine.version()) > 1
                                : !decodeEngines.containsKey(engine.version());
        // Prefer the domain with most engines of this stage, so that each domain keeps both stages
        // as long
        // as possible.
        Function<Backend, Long> enginesInDomain = engine -> perDomain.get(engine.domain());
        return engines.stream()
                .filter(engine -> engine.stage() == from)
                .max(
                        Comparator.comparing(keepsVersionsServed)
                                .thenComparing(enginesInDomain)
                                .thenComparing(Backend::id))
                .map(engine -> new StageChange(engine, to));
    }

    private static long count(List<Backend> engines, BackendStage stage) {
        return engines.stream().filter(engine -> engine.stage() == stage).count();
    }
}
