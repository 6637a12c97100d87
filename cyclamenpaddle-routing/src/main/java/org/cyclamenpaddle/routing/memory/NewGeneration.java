package org.cyclamenpaddle.routing.memory;

/**
 * A generation that begins.
 *
 * @param promptTokens its prompt
 * @param expectedTokens what its caller expects it to make
 */
public record NewGeneration(long promptTokens, long expectedTokens) {

    public NewGeneration {
        if (promptTokens < 0 || expectedTokens < 0) {
            throw new IllegalArgumentException(
                    "generation of " + promptTokens + " and " + expectedTokens + " tokens");
        }
    }

    /** Returns the tokens that are kept for it from its start: what it is expected to hold. */
    public long reservedTokens() {
        return promptTokens + expectedTokens;
    }
}
