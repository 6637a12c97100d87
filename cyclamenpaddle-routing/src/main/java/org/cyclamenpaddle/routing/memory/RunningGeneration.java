package org.cyclamenpaddle.routing.memory;

/**
 * One generation that runs at an engine.
 *
 * @param heldTokens tokens that it holds in the engine's memory
 * @param generatedTokens tokens that it has generated so far
 */
public record RunningGeneration(long heldTokens, long generatedTokens) {

    public RunningGeneration {
        if (heldTokens < 0 || generatedTokens < 0) {
            throw new IllegalArgumentException(
                    "generation holds " + heldTokens + " and made " + generatedTokens + " tokens");
        }
    }
}
