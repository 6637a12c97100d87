package org.cyclamenpaddle.routing.memory;

import java.util.List;

/**
 * The generations that run on an engine, as last reported.
 *
 * @param memoryTokens memory capacity in tokens
 * @param generations its running generations
 * @param tokensSinceReport tokens that each may have generated since the report
 */
public record EngineGenerations(
        long memoryTokens, List<RunningGeneration> generations, long tokensSinceReport) {

    public EngineGenerations {
        if (memoryTokens < 1 || tokensSinceReport < 0) {
            throw new IllegalArgumentException(
                    "invalid engine report: memory of "
                            + memoryTokens
                            + " tokens, "
                            + tokensSinceReport
                            + " tokens since the report");
        }
        generations = List.copyOf(generations);
    }
}
