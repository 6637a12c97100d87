package org.cyclamenpaddle.routing.memory;

/**
 * A generation that is about to start.
 *
 * @param promptTokens tokens of its prompt
 * @param expectedTokens output tokens that its caller expects
 */
public record NewGeneration(long promptTokens, long expectedTokens) {

    public NewGeneration {
        if (promptTokens < 0 || expectedTokens < 0) {
            throw new IllegalArgumentException(
                    "negative token count of a generation: "
                            + promptTokens
                            + " and "
                            + expectedTokens
                            + " tokens");
        }
    }

    /** Returns the tokens reserved for it from its start: prompt and expected output. */
    public long reservedTokens() {
        return promptTokens + expectedTokens;
    }
}
