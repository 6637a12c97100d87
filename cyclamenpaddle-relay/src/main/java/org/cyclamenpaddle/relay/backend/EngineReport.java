package org.cyclamenpaddle.relay.backend;

import java.util.List;
import org.cyclamenpaddle.routing.memory.RunningWork;

/**
 * What an engine says of itself, as of some hundred milliseconds ago.
 *
 * @param ordersAccepted orders that it has accepted since its start
 * @param changingStage whether it is carrying out an order
 * @param generations the generations that it runs
 */
public record EngineReport(
        long ordersAccepted, boolean changingStage, List<Generation> generations) {

    /**
     * One generation.
     *
     * @param request id of its request
     * @param heldTokens tokens that it holds in memory
     * @param events events of its stream so far
     */
    public record Generation(String request, long heldTokens, long events) {}

    public EngineReport {
        generations = List.copyOf(generations);
    }

    /**
     * Returns the generations in tokens.
     *
     * @param eventTokens tokens that an event stands for
     */
    public List<RunningWork> runningWork(int eventTokens) {
        return generations.stream()
                .map(run -> new RunningWork(run.heldTokens(), run.events() * eventTokens))
                .toList();
    }
}
