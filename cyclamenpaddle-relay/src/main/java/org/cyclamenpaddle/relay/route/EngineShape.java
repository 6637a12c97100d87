package org.cyclamenpaddle.relay.route;

/**
 * What the engines of a service can hold.
 *
 * @param slots requests that run at once
 * @param memoryTokens tokens that an engine's memory holds
 * @param handleMillis how long the result of a prefill is kept for a decode engine
 */
public record EngineShape(int slots, long memoryTokens, long handleMillis) {

    public EngineShape {
        if (slots < 1 || memoryTokens < 1 || handleMillis < 0) {
            throw new IllegalArgumentException(
                    "engine of " + slots + " slots and " + memoryTokens + " tokens");
        }
    }
}
