package org.cyclamenpaddle.relay.staging;

/**
 * What a mean generation asks of the engines.
 *
 * @param promptTokens tokens to be read
 * @param outputTokens tokens to be generated
 * @param decodeMillis time from its first token to its last
 */
public record Demand(double promptTokens, double outputTokens, double decodeMillis) {

    /**
     * The shape of the users' data sheets, which counts until enough generations were seen: 5,200
     * tokens in, about 700 out, and four seconds at a usual batch.
     */
    public static final Demand USUAL = new Demand(5_200, 700, 4_000);

    public Demand {
        if (promptTokens < 0 || outputTokens < 0 || decodeMillis < 0) {
            throw new IllegalArgumentException("demand must not be negative");
        }
    }
}
