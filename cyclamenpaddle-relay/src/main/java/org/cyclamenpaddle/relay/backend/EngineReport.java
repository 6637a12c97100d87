package org.cyclamenpaddle.relay.backend;

import java.util.List;
import java.util.OptionalInt;
import org.cyclamenpaddle.routing.memory.RunningGeneration;

/**
 * State that an engine reports about itself, some hundred milliseconds old.
 *
 * @param ordersAccepted number of orders that it has accepted since its start
 * @param changingStage whether it is executing an order to change its stage
 * @param generations the generations that it runs
 */
public record EngineReport(
        long ordersAccepted, boolean changingStage, List<Generation> generations) {

    /**
     * One running generation.
     *
     * @param request id of its request
     * @param heldTokens number of tokens that it occupies in memory
     * @param events number of events of its stream so far
     * @param priority its priority, 0 being the highest; empty if it is not reported
     */
    public record Generation(String request, long heldTokens, long events, OptionalInt priority) {}

    public EngineReport {
        generations = List.copyOf(generations);
    }

    /**
     * Returns the generations with their sizes in tokens.
     *
     * @param tokensPerEvent number of tokens that one event represents
     */
    public List<RunningGeneration> runningWork(int tokensPerEvent) {
        return generations.stream()
                .map(
                        generation ->
                                new RunningGeneration(
                                        generation.heldTokens(),
                                        generation.events() * tokensPerEvent,
                                        generation.priority()))
                .toList();
    }
}
