package org.cyclamenpaddle.relay.backend;

import java.util.List;
import org.cyclamenpaddle.routing.memory.RunningGeneration;

/**
 * What an engine says of itself, as of some hundred milliseconds ago.
 *
 * @param ordersAccepted orders that it has accepted since its start
 * @param changing whether it is carrying out an order
 * @param runs the generations that it runs
 */
public record EngineReport(long ordersAccepted, boolean changing, List<Run> runs) {

    /**
     * One generation.
     *
     * @param request id of its request
     * @param heldTokens tokens that it holds in memory
     * @param events events of its stream so far
     */
    public record Run(String request, long heldTokens, long events) {}

    public EngineReport {
        runs = List.copyOf(runs);
    }

    /**
     * Returns the generations in tokens.
     *
     * @param eventTokens tokens that an event stands for
     */
    public List<RunningGeneration> work(int eventTokens) {
        return runs.stream()
                .map(run -> new RunningGeneration(run.heldTokens(), run.events() * eventTokens))
                .toList();
    }
}
