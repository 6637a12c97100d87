package org.cyclamenpaddle.fleet.configuration;

/**
 * Timings of {@link ConfigurationSync}.
 *
 * @param watchersPerDomain number of hosts of a failure domain that watch the platform
 * @param peerTimeoutMillis timeout after which another peer may be queried
 * @param retryMillis initial retry delay after a failed platform call; doubles up to {@code
 *     maxRetryMillis}
 * @param maxRetryMillis maximum retry delay after a failed platform call
 */
public record ConfigurationSyncSettings(
        int watchersPerDomain, long peerTimeoutMillis, long retryMillis, long maxRetryMillis) {

    /** Default settings, which meet the bounds stated in {@link ConfigurationSync}. */
    public static final ConfigurationSyncSettings DEFAULTS =
            new ConfigurationSyncSettings(2, 500, 100, 1_000);

    public ConfigurationSyncSettings {
        if (watchersPerDomain < 1 || peerTimeoutMillis <= 0) {
            throw new IllegalArgumentException(
                    "watchers "
                            + watchersPerDomain
                            + " and peer timeout "
                            + peerTimeoutMillis
                            + " ms must be above 0");
        }
        if (retryMillis <= 0 || maxRetryMillis < retryMillis) {
            throw new IllegalArgumentException(
                    "retry delay must be above 0 and at most "
                            + maxRetryMillis
                            + " ms: "
                            + retryMillis);
        }
    }
}
