package org.cyclamenpaddle.routing.placement;

/**
 * One event of an engine's prefix cache.
 *
 * @param sequence rises by one with each event of one life of the engine
 * @param kind what happened
 * @param blockHash chained hash of the block
 */
public record CacheEvent(long sequence, Kind kind, long blockHash) {

    /** What happened to a block. */
    public enum Kind {
        STORED,
        EVICTED
    }
}
