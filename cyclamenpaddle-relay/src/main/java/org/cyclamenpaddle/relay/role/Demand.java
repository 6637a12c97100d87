package org.cyclamenpaddle.relay.role;

/**
 * Demand that a mean generation puts on the engines.
 *
 * @param promptTokens tokens to prefill
 * @param outputTokens tokens generated
 * @param decodeMillis time from its first token to its last, in milliseconds
 */
public record Demand(double promptTokens, double outputTokens, double decodeMillis) {

    public Demand {
        if (promptTokens < 0 || outputTokens < 0 || decodeMillis < 0) {
            throw new IllegalArgumentException("demand must not be negative");
        }
    }

    /** Returns the tokens that a generation produces per millisecond. */
    public double tokensPerMilli() {
        return decodeMillis == 0 ? 0 : outputTokens / decodeMillis;
    }

    /** Returns the mean including one more generation with the given weight, from 0 to 1. */
    Demand withSample(Demand newest, double weight) {
        return new Demand(
                interpolate(promptTokens, newest.promptTokens, weight),
                interpolate(outputTokens, newest.outputTokens, weight),
                interpolate(decodeMillis, newest.decodeMillis, weight));
    }

    private static double interpolate(double old, double newest, double weight) {
        return old + weight * (newest - old);
    }
}
