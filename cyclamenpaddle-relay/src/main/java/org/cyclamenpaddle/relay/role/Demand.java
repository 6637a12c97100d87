package org.cyclamenpaddle.relay.role;

/**
 * What a mean generation asks of the engines.
 *
 * @param promptTokens tokens to be read
 * @param outputTokens tokens generated
 * @param decodeMillis time from its first token to its last
 */
public record Demand(double promptTokens, double outputTokens, double decodeMillis) {

    public Demand {
        if (promptTokens < 0 || outputTokens < 0 || decodeMillis < 0) {
            throw new IllegalArgumentException("demand must not be negative");
        }
    }

    /** Returns the tokens that a generation makes in a millisecond. */
    public double tokensPerMilli() {
        return decodeMillis == 0 ? 0 : outputTokens / decodeMillis;
    }

    /** Returns the mean after one more generation that counts with a weight from 0 to 1. */
    Demand with(Demand newest, double weight) {
        return new Demand(
                mixed(promptTokens, newest.promptTokens, weight),
                mixed(outputTokens, newest.outputTokens, weight),
                mixed(decodeMillis, newest.decodeMillis, weight));
    }

    private static double mixed(double old, double newest, double weight) {
        return old + weight * (newest - old);
    }
}
