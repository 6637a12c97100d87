package org.cyclamenpaddle.routing.quarantine;

/**
 * Settings of {@link PartAttribution}.
 *
 * @param minServers number of servers that must have ended under a part
 * @param minRequests number of different requests with the part under which they must have ended
 * @param maxChance highest probability that any sound part has such a share of the lost runs
 * @param suspectChance the same for a part that is suspected only
 * @param suspectServers number of servers that make a part suspected without any good runs
 * @param retentionMillis time for which the end of a server counts
 * @param quarantineMillis length of the first quarantine of a part
 * @param quarantineFactor factor by which each further one is longer
 * @param maxEntries maximum number of parts of lost runs that are kept
 */
public record PartAttributionSettings(
        int minServers,
        int minRequests,
        double maxChance,
        double suspectChance,
        int suspectServers,
        long retentionMillis,
        long quarantineMillis,
        int quarantineFactor,
        int maxEntries) {

    /** Three servers under two requests, at a chance of three in a thousand. */
    public static final PartAttributionSettings DEFAULTS =
            new PartAttributionSettings(3, 2, 0.003, 1, 5, 60_000, 120_000, 4, 16_384);

    public PartAttributionSettings {
        if (minServers < 1
                || minRequests < 1
                || maxChance <= 0
                || suspectChance < maxChance
                || suspectServers < 1
                || retentionMillis < 1
                || quarantineMillis < 1
                || quarantineFactor < 1
                || maxEntries < 1) {
            throw new IllegalArgumentException("settings must be above 0, in order");
        }
    }
}
