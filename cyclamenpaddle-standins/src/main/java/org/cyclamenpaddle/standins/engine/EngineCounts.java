package org.cyclamenpaddle.standins.engine;

/**
 * What an engine did since its stand-in was created.
 *
 * @param prefilledTokens uncached tokens computed by prefill
 * @param wastedTokens those of them whose result was never exported
 * @param attempts prefill and decode attempts accepted
 * @param generatedTokens tokens decoded
 * @param cutOff attempts ended by an order that changed service, model or role
 * @param crashes crashes
 */
public record EngineCounts(
        long prefilledTokens,
        long wastedTokens,
        long attempts,
        long generatedTokens,
        long cutOff,
        long crashes) {

    /** Returns the sum of both, member by member. */
    public EngineCounts plus(EngineCounts other) {
        return new EngineCounts(
                prefilledTokens + other.prefilledTokens,
                wastedTokens + other.wastedTokens,
                attempts + other.attempts,
                generatedTokens + other.generatedTokens,
                cutOff + other.cutOff,
                crashes + other.crashes);
    }

    /** Returns what was added since {@code earlier}. */
    public EngineCounts since(EngineCounts earlier) {
        return new EngineCounts(
                prefilledTokens - earlier.prefilledTokens,
                wastedTokens - earlier.wastedTokens,
                attempts - earlier.attempts,
                generatedTokens - earlier.generatedTokens,
                cutOff - earlier.cutOff,
                crashes - earlier.crashes);
    }
}
