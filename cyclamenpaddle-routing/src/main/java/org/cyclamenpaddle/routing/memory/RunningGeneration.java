package org.cyclamenpaddle.routing.memory;

import java.util.OptionalInt;

/**
 * A generation that runs on an engine.
 *
 * @param heldTokens tokens that it holds in the engine's memory
 * @param generatedTokens tokens that it has generated so far
 * @param priority its priority, 0 being the highest; empty if the engine does not report it
 */
public record RunningGeneration(long heldTokens, long generatedTokens, OptionalInt priority) {

    /** Creates a generation without a reported priority. */
    public RunningGeneration(long heldTokens, long generatedTokens) {
        this(heldTokens, generatedTokens, OptionalInt.empty());
    }

    public RunningGeneration {
        if (heldTokens < 0 || generatedTokens < 0) {
            throw new IllegalArgumentException(
                    "negative token count of a generation: holds "
                            + heldTokens
                            + " and generated "
                            + generatedTokens
                            + " tokens");
        }
    }
}
