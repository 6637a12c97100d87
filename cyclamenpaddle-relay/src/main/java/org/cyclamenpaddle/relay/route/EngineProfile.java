package org.cyclamenpaddle.relay.route;

/**
 * What the engines of a service can hold.
 *
 * @param slots requests that run at once
 * @param memoryTokens tokens that an engine's memory holds
 * @param kvHandleTtlMillis how long the result of a prefill is kept for a decode engine
 * @param maxReservationMillis longest time for which an engine keeps a place
 * @param tokensPerEvent tokens that one event of a stream stands for
 * @param stageSwitchMillis how long an engine serves nobody while it changes its stage
 */
public record EngineProfile(
        int slots,
        long memoryTokens,
        long kvHandleTtlMillis,
        long maxReservationMillis,
        int tokensPerEvent,
        long stageSwitchMillis) {

    public EngineProfile {
        if (slots < 1 || memoryTokens < 1 || kvHandleTtlMillis < 0) {
            throw new IllegalArgumentException(
                    "engine of " + slots + " slots and " + memoryTokens + " tokens");
        }
        if (maxReservationMillis < 0 || tokensPerEvent < 1 || stageSwitchMillis < 0) {
            throw new IllegalArgumentException(
                    "engine keeps places for "
                            + maxReservationMillis
                            + " ms, makes events of "
                            + tokensPerEvent
                            + " tokens and changes in "
                            + stageSwitchMillis
                            + " ms");
        }
    }
}
