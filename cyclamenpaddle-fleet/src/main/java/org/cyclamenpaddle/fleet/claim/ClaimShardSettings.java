package org.cyclamenpaddle.fleet.claim;

import java.util.concurrent.TimeUnit;

/**
 * Limits of claim shards; the same on all hosts.
 *
 * @param shards number of objects over which the claims are distributed; must not change while
 *     claims are stored
 * @param retentionMillis retention period of a claim, in milliseconds of wall-clock time
 * @param maxCharacters maximum length of a shard's document; the platform accepts one megabyte
 * @param retryMillis retry delay in milliseconds after the platform was unavailable
 * @param flushMillis maximum delay in milliseconds of an outcome that releases no key; if the host
 *     fails within it, the outcome stays unknown
 */
public record ClaimShardSettings(
        int shards, long retentionMillis, int maxCharacters, long retryMillis, long flushMillis) {

    /** Default settings. */
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
