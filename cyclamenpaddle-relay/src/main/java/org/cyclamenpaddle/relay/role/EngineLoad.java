package org.cyclamenpaddle.relay.role;

import org.cyclamenpaddle.relay.route.EngineProfile;

/**
 * What a mean generation takes of one engine.
 *
 * @param readMillis time of a prefill engine
 * @param memoryMillis time of a decode engine whose whole memory it would hold
 */
public record EngineLoad(double readMillis, double memoryMillis) {

    public EngineLoad {
        if (readMillis <= 0 || memoryMillis <= 0) {
            throw new IllegalArgumentException(
                    "a generation reads for " + readMillis + " and holds for " + memoryMillis);
        }
    }

    /**
     * Returns the load of a demand.
     *
     * @param demand of a mean generation
     * @param shape of an engine
     * @param tokensReadPerMilli prompt tokens that a prefill engine reads in a millisecond
     */
    static EngineLoad of(Demand demand, EngineProfile shape, double tokensReadPerMilli) {
        double heldTokens = demand.promptTokens() + demand.outputTokens() / 2;
        return new EngineLoad(
                Math.max(1, demand.promptTokens()) / tokensReadPerMilli,
                Math.max(1, heldTokens * demand.decodeMillis() / shape.memoryTokens()));
    }
}
