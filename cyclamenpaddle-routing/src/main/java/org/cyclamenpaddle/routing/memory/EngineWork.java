package org.cyclamenpaddle.routing.memory;

import java.util.List;

/**
 * What an engine runs, as last reported.
 *
 * @param memoryTokens tokens that its memory holds
 * @param runs its generations
 * @param sinceTokens tokens that each may have made since the report
 */
public record EngineWork(long memoryTokens, List<RunningWork> runs, long sinceTokens) {

    public EngineWork {
        if (memoryTokens < 1 || sinceTokens < 0) {
            throw new IllegalArgumentException(
                    "engine of " + memoryTokens + " tokens, " + sinceTokens + " since its report");
        }
        runs = List.copyOf(runs);
    }
}
