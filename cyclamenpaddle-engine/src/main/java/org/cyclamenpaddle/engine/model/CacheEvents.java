package org.cyclamenpaddle.engine.model;

import java.util.List;

/**
 * Changes of an engine's prefix cache; late and with gaps.
 *
 * @param lastSequence where the next question goes on
 * @param events in order of their sequence
 */
public record CacheEvents(long lastSequence, List<CacheEvent> events) {
    public CacheEvents {
        events = List.copyOf(events);
    }

    /**
     * One change.
     *
     * @param sequence its number, with gaps where events were lost
     * @param stored true if the block was stored, false if it was evicted
     * @param hash hash of the block, as of {@code PromptText.blockHashes}
     */
    public record CacheEvent(long sequence, boolean stored, long hash) {}
}
