package org.cyclamenpaddle.routing.memory;

/**
 * One generation that runs at an engine.
 *
 * @param heldTokens tokens that it holds in the engine's memory
 * @param madeTokens tokens that it has generated so far
 */
public record RunningWork(long heldTokens, long madeTokens) {

    public RunningWork {
        if (heldTokens < 0 || madeTokens < 0) {
            throw new IllegalArgumentException(
                    "generation holds " + heldTokens + " and made " + madeTokens + " tokens");
        }
    }
}
