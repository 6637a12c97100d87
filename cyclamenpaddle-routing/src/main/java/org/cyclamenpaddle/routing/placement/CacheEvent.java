package org.cyclamenpaddle.routing.placement;

/**
 * An event of an engine's prefix cache.
 *
 * @param sequence increases by one with each event between two starts of the engine
 * @param kind what happened
 * @param blockHash chained hash of the block
 */
public record CacheEvent(long sequence, Kind kind, long blockHash) {

    /** Change of a cached block. */
    public enum Kind {
        STORED,
        EVICTED
    }
}
