package org.cyclamenpaddle.relay.role;

import org.cyclamenpaddle.relay.route.EngineProfile;

/**
 * Engine time that a mean generation takes.
 *
 * @param prefillMillis time of one prefill engine, in milliseconds
 * @param decodeMemoryMillis time of one decode engine if the generation occupied all its memory, in
 *     milliseconds
 */
public record GenerationCost(double prefillMillis, double decodeMemoryMillis) {

    public GenerationCost {
        if (prefillMillis <= 0 || decodeMemoryMillis <= 0) {
            throw new IllegalArgumentException(
                    "load must be above 0: prefill ms "
                            + prefillMillis
                            + ", decode memory ms "
                            + decodeMemoryMillis);
        }
    }

    /**
     * Returns the cost of the mean generation of a demand.
     *
     * @param demand demand of a mean generation
     * @param profile profile of an engine
     * @param prefillTokensPerMilli prefill throughput of an engine, in prompt tokens per
     *     millisecond
     */
    static GenerationCost of(Demand demand, EngineProfile profile, double prefillTokensPerMilli) {
        double heldTokens = demand.promptTokens() + demand.outputTokens() / 2;
        return new GenerationCost(
                Math.max(1, demand.promptTokens()) / prefillTokensPerMilli,
                Math.max(1, heldTokens * demand.decodeMillis() / profile.memoryTokens()));
    }
}
