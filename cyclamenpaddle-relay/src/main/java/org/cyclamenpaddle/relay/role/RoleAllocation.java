package org.cyclamenpaddle.relay.role;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.BackendStage;

/**
 * How many of a service's engines should prefill, and which engine changes next.
 *
 * <p>A prompt takes an engine's time; a generation takes its memory for as long as it runs. The
 * engines are divided so that both pools together carry the most generations in a second: an engine
 * too many on one side is one too few on the other, where callers then wait.
 */
public final class RoleAllocation {

    /** Share of its time that a prefill engine may be busy; at it, prompts wait twice as long. */
    static final double PREFILL_BUSY = 0.8;

    /** Share of its memory that a decode engine may use, the rest being room for growth. */
    static final double DECODE_BUSY = 0.85;

    /** Engines of which one prefills until the demand is known. */
    static final int ENGINES_PER_READER = 5;

    /**
     * How much more a split must carry than the present one before an engine changes.
     *
     * <p>Safeguard: a changing engine serves nobody for some seconds. Without a margin the plan
     * would follow the noise of the demand and keep engines changing.
     */
    static final double GAIN = 1.5;

    /**
     * Returns the next change.
     *
     * @param engines the service's engines, with the stages that they have or are changing to
     * @param load what they have to carry; empty until it is known
     */
    public Optional<StageChange> next(List<Backend> engines, Optional<EngineLoad> load) {
        if (engines.size() < 2) {
            return Optional.empty();
        }
        int prefill = (int) count(engines, BackendStage.PREFILL);
        int wanted = wantedPrefill(engines.size(), prefill, load);
        if (prefill > wanted) {
            return change(engines, BackendStage.PREFILL, BackendStage.DECODE);
        }
        return prefill < wanted
                ? change(engines, BackendStage.DECODE, BackendStage.PREFILL)
                : Optional.empty();
    }

    /** Returns how many of {@code engines} should prefill; between 1 and all but one. */
    int wantedPrefill(int engines, int prefill, Optional<EngineLoad> load) {
        if (load.isEmpty()) {
            return Math.max(1, (engines + ENGINES_PER_READER - 1) / ENGINES_PER_READER);
        }
        int best =
                IntStream.range(1, engines)
                        .boxed()
                        .max(Comparator.comparing(split -> carried(engines, split, load.get())))
                        .orElse(1);
        boolean possible = prefill >= 1 && prefill < engines;
        double now = possible ? carried(engines, prefill, load.get()) : 0;
        return carried(engines, best, load.get()) > now * GAIN ? best : prefill;
    }

    /** Returns the generations that a split carries in a millisecond. */
    static double carried(int engines, int prefill, EngineLoad load) {
        double read = prefill * PREFILL_BUSY / load.readMillis();
        double run = (engines - prefill) * DECODE_BUSY / load.memoryMillis();
        return Math.min(read, run);
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
