package org.cyclamenpaddle.fleet.claim;

/** Actions that the process performs on behalf of a {@link ClaimShard}. */
public sealed interface ClaimShardEffect {

    /**
     * Read a shard's object; report by {@code onRead} or {@code onPlatformUnavailable}.
     *
     * @param shard its number
     */
    record ReadShard(int shard) implements ClaimShardEffect {}

    /**
     * Write a shard's object if it still has the expected version; report by {@code onWritten},
     * {@code onConflict}, {@code onResponseLost}, or {@code onPlatformUnavailable} if provably
     * nothing was sent.
     *
     * @param shard its number
     * @param baseVersion the expected version; 0 if the object must not exist
     * @param document its new content
     */
    record WriteShard(int shard, long baseVersion, ClaimDocument document)
            implements ClaimShardEffect {}

    /**
     * Report the result of a claim to its call.
     *
     * @param claim the claim
     * @param result the result
     */
    record Settled(ClaimRecord claim, ClaimResult result) implements ClaimShardEffect {}
}
