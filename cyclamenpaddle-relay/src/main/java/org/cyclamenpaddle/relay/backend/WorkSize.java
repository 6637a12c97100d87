package org.cyclamenpaddle.relay.backend;

import org.cyclamenpaddle.routing.memory.NewGeneration;

/**
 * Size of one request's work on an engine.
 *
 * @param promptTokens tokens to be read; 0 for a plain call
 * @param outputTokens tokens expected to be generated, the most allowed if nothing is expected
 */
public record WorkSize(long promptTokens, long outputTokens) {

    /** A call of a plain service. */
    public static final WorkSize PLAIN = new WorkSize(0, 0);

    public WorkSize {
        if (promptTokens < 0 || outputTokens < 0) {
            throw new IllegalArgumentException(
                    "work of " + promptTokens + " and " + outputTokens + " tokens");
        }
    }

    /** Returns the tokens that the work holds in an engine's memory at its expected end. */
    public long memoryTokens() {
        return promptTokens + outputTokens;
    }

    /** Returns it as a generation that begins. */
    public NewGeneration asNewWork() {
        return new NewGeneration(promptTokens, outputTokens);
    }
}
