package org.cyclamenpaddle.relay.backend;

import org.cyclamenpaddle.routing.memory.NewGeneration;

/**
 * Size of the work of one request on an engine.
 *
 * @param promptTokens tokens to prefill; 0 for a plain call
 * @param outputTokens expected number of generated tokens; the maximum allowed without a forecast
 */
public record WorkSize(long promptTokens, long outputTokens) {

    /** Size of a call of a plain service. */
    public static final WorkSize PLAIN = new WorkSize(0, 0);

    public WorkSize {
        if (promptTokens < 0 || outputTokens < 0) {
            throw new IllegalArgumentException(
                    "work of " + promptTokens + " and " + outputTokens + " tokens");
        }
    }

    /**
     * Returns the number of tokens that the request occupies in an engine's memory at its expected
     * end.
     */
    public long memoryTokens() {
        return promptTokens + outputTokens;
    }

    /**
     * Returns the number of calls that the request makes to the server that completes it: an engine
     * gets a reservation first.
     */
    public int calls() {
        return promptTokens > 0 ? 2 : 1;
    }

    /** Converts this size to the work of a new generation. */
    public NewGeneration asNewWork() {
        return new NewGeneration(promptTokens, outputTokens);
    }
}
