package org.cyclamenpaddle.relay.route;

/**
 * Capacity and timing of the engines of a service.
 *
 * @param slots maximum number of concurrent requests
 * @param memoryTokens number of tokens that an engine's memory can hold
 * @param kvHandleTtlMillis time for which a prefill result stays available to a decode engine, in
 *     milliseconds
 * @param maxReservationMillis maximum duration of a reservation, in milliseconds
 * @param tokensPerEvent number of tokens that one event of a stream represents
 * @param stageSwitchMillis time for which an engine serves no requests while it changes its stage,
 *     in milliseconds
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
                    "engine has " + slots + " slots and memory for " + memoryTokens + " tokens");
        }
        if (maxReservationMillis < 0 || tokensPerEvent < 1 || stageSwitchMillis < 0) {
            throw new IllegalArgumentException(
                    "engine has reservations of "
                            + maxReservationMillis
                            + " ms, events of "
                            + tokensPerEvent
                            + " tokens and a stage switch of "
                            + stageSwitchMillis
                            + " ms");
        }
    }

    /** Returns whether an empty engine could hold a request of the given size. */
    public boolean holds(long tokens) {
        return tokens <= memoryTokens;
    }
}
