package org.cyclamenpaddle.routing.memory;

import java.util.List;

/**
 * What an engine runs, as last reported.
 *
 * @param memoryTokens tokens that its memory holds
 * @param generations its generations
 * @param tokensSinceReport tokens that each may have made since the report
 */
public record EngineGenerations(
        long memoryTokens, List<RunningGeneration> generations, long tokensSinceReport) {

    public EngineGenerations {
        if (memoryTokens < 1 || tokensSinceReport < 0) {
            throw new IllegalArgumentException(
                    "engine of "
                            + memoryTokens
                            + " tokens, "
                            + tokensSinceReport
                            + " since its report");
        }
        generations = List.copyOf(generations);
    }
}
