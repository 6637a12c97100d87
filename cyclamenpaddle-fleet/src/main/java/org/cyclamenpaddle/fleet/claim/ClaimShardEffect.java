package org.cyclamenpaddle.fleet.claim;

/** What the process has to do on behalf of a {@link ClaimShard}. */
public sealed interface ClaimShardEffect {

    /**
     * Read a shard's object; report by {@code onRead} or {@code onPlatformAway}.
     *
     * @param shard its number
     */
    record ReadShard(int shard) implements ClaimShardEffect {}

    /**
     * Write a shard's object if it is still at a version; report by {@code onWritten}, {@code
     * onConflict}, {@code onAnswerLost}, or {@code onPlatformAway} if provably nothing was sent.
     *
     * @param shard its number
     * @param baseVersion the version it must be at; 0 if it must not exist
     * @param document its new content
     */
    record WriteShard(int shard, long baseVersion, ClaimDocument document)
            implements ClaimShardEffect {}

    /**
     * Tell the call that made a claim what became of it.
     *
     * @param claim the claim
     * @param verdict what became of it
     */
    record Settled(ClaimRecord claim, ClaimResult result) implements ClaimShardEffect {}
}
