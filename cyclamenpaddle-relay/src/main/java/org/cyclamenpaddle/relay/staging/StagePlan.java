package org.cyclamenpaddle.relay.staging;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.BackendStage;
import org.cyclamenpaddle.relay.backend.CostSettings;
import org.cyclamenpaddle.relay.route.EngineShape;

/**
 * How many of a service's engines should prefill, and which engine changes next.
 *
 * <p>A prompt takes an engine's time; a generation takes its memory for as long as it runs. The
 * engines are divided so that both pools are busy to the shares that each bears: a prefill pool
 * above six tenths makes prompts queue past their target, while memory can be used nearly whole.
 * Where the supplied split had five of thirteen engines prefill, three suffice, and the two others
 * hold a quarter more generations.
 */
public final class StagePlan {

    /** Share of its time that a prefill engine may be busy; at it, prompts wait about as long. */
    static final double PREFILL_BUSY = 0.6;

    /** Share of its memory that a decode engine may use, the rest being room for growth. */
    static final double DECODE_BUSY = 0.85;

    /**
     * Engines by which the present split must be off before one changes.
     *
     * <p>Safeguard: a changing engine serves nobody for some seconds. Without a margin the plan
     * would follow the noise of the demand and keep engines changing.
     */
    static final double MARGIN = 0.75;

    private final CostSettings mCosts;

    /** Creates the plan. */
    public StagePlan(CostSettings costs) {
        mCosts = costs;
    }

    /**
     * Returns the next change.
     *
     * @param engines the service's engines, with the stages that they have or are changing to
     * @param demand of a mean generation
     * @param shape of an engine
     */
    public Optional<StageChange> next(List<Backend> engines, Demand demand, EngineShape shape) {
        if (engines.size() < 2) {
            return Optional.empty();
        }
        long prefill = count(engines, BackendStage.PREFILL);
        double wanted = wantedPrefill(engines.size(), demand, shape);
        if (prefill - wanted > MARGIN && prefill > 1) {
            return change(engines, BackendStage.PREFILL, BackendStage.DECODE);
        }
        if (wanted - prefill > MARGIN && engines.size() - prefill > 1) {
            return change(engines, BackendStage.DECODE, BackendStage.PREFILL);
        }
        return Optional.empty();
    }

    /** Returns how many of {@code engines} should prefill, before rounding; 1 at least. */
    double wantedPrefill(int engines, Demand demand, EngineShape shape) {
        double readMillis = demand.promptTokens() / mCosts.promptTokensPerMilli() / PREFILL_BUSY;
        double heldTokens = demand.promptTokens() + demand.outputTokens() / 2;
        double memoryShare = heldTokens / shape.memoryTokens();
        double decodeMillis = memoryShare * demand.decodeMillis() / DECODE_BUSY;
        double wanted = engines * readMillis / Math.max(1, readMillis + decodeMillis);
        return Math.max(1, Math.min(engines - 1.0, wanted));
    }

    private static Optional<StageChange> change(
            List<Backend> engines, BackendStage from, BackendStage to) {
        Map<FailureDomain, Long> perDomain =
                engines.stream()
                        .filter(engine -> engine.stage() == from)
                        .collect(Collectors.groupingBy(Backend::domain, Collectors.counting()));
        // From where most are, so that every failure domain keeps both kinds as long as it can.
        Function<Backend, Long> inDomain = engine -> perDomain.get(engine.domain());
        return engines.stream()
                .filter(engine -> engine.stage() == from)
                .max(Comparator.comparing(inDomain).thenComparing(Backend::id))
                .map(engine -> new StageChange(engine, to));
    }

    private static long count(List<Backend> engines, BackendStage stage) {
        return engines.stream().filter(engine -> engine.stage() == stage).count();
    }
}
