package org.cyclamenpaddle.engine.model;

import java.util.List;

/**
 * Changes of an engine's prefix cache, reported with a delay and with gaps.
 *
 * @param lastSequence the sequence number from which the next request continues
 * @param events in ascending order of their sequence numbers
 */
public record CacheEvents(long lastSequence, List<CacheEvent> events) {
    public CacheEvents {
        events = List.copyOf(events);
    }

    /**
     * A stored or evicted block.
     *
     * @param sequence its sequence number; a gap means that events were lost
     * @param stored true if the block was stored, false if it was evicted
     * @param hash hash of the block, as of {@code PromptText.blockHashes}
     */
    public record CacheEvent(long sequence, boolean stored, long hash) {}
}
