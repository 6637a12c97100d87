package org.cyclamenpaddle.relay.route;

/**
 * What the engines of a service can hold.
 *
 * @param slots requests that run at once
 * @param memoryTokens tokens that an engine's memory holds
 * @param handleMillis how long the result of a prefill is kept for a decode engine
 * @param reserveMillis longest time for which an engine keeps a place
 * @param eventTokens tokens that one event of a stream stands for
 * @param switchMillis how long an engine serves nobody while it changes its stage
 */
public record EngineShape(
        int slots,
        long memoryTokens,
        long handleMillis,
        long reserveMillis,
        int eventTokens,
        long switchMillis) {

    public EngineShape {
        if (slots < 1 || memoryTokens < 1 || handleMillis < 0) {
            throw new IllegalArgumentException(
                    "engine of " + slots + " slots and " + memoryTokens + " tokens");
        }
        if (reserveMillis < 0 || eventTokens < 1 || switchMillis < 0) {
            throw new IllegalArgumentException(
                    "engine keeps places for "
                            + reserveMillis
                            + " ms, makes events of "
                            + eventTokens
                            + " tokens and changes in "
                            + switchMillis
                            + " ms");
        }
    }
}
