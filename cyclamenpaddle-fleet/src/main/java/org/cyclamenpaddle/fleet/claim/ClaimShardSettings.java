package org.cyclamenpaddle.fleet.claim;

import java.util.concurrent.TimeUnit;

/**
 * Limits of claim shards; the same on all hosts.
 *
 * @param shards how many objects share the claims; never changed while claims are kept
 * @param retentionMillis how long a claim is kept, in milliseconds of wall-clock time
 * @param maxCharacters longest document of a shard; the platform takes one megabyte
 * @param retryMillis wait after the platform was found away
 * @param flushMillis longest wait of an outcome that frees no key; a host that dies meanwhile
 *     leaves the outcome unknown
 */
public record ClaimShardSettings(
        int shards, long retentionMillis, int maxCharacters, long retryMillis, long flushMillis) {

    /** Settings in common use. */
    public static final ClaimShardSettings DEFAULTS =
            new ClaimShardSettings(1_024, TimeUnit.HOURS.toMillis(24), 900_000, 500, 1_000);

    public ClaimShardSettings {
        if (shards < 1
                || retentionMillis <= 0
                || maxCharacters < 1
                || retryMillis <= 0
                || flushMillis < 0) {
            throw new IllegalArgumentException(
                    "shards "
                            + shards
                            + ", retention "
                            + retentionMillis
                            + " ms, length "
                            + maxCharacters
                            + " and retry "
                            + retryMillis
                            + " ms must be above 0");
        }
    }
}
