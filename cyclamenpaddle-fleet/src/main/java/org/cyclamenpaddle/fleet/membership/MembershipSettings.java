package org.cyclamenpaddle.fleet.membership;

/**
 * Timings and sizes of membership.
 *
 * <p>The defaults free engine memory within 2,000 ms of a host's death, also in the worst case of a
 * machine that goes silent (a killed process resets its connections, which is detected faster):
 *
 * <ul>
 *   <li>the last heartbeat arrives at the time of death; a watcher suspects the host after 800 ms,
 *       at its next tick 50 ms later: 850 ms;
 *   <li>its direct probe and the indirect probes fail after 300 ms, processed at a tick: 1,200 ms;
 *   <li>the death notice takes two hops, to all hosts of the domain and through delegates to the
 *       others, and each receiver makes its own direct probe, 300 ms and a tick: 1,550 ms plus the
 *       hops;
 *   <li>the owner lists the engine's attempts and cancels them: two round trips.
 * </ul>
 *
 * <p>This leaves about 400 ms for the hops and the engine's round trips. A live host that pauses
 * for less than 600 ms is never declared dead: its pause begins at most 500 ms after its last
 * heartbeat, and after the resulting 1,100 ms of silence a watcher's direct probe still succeeds.
 *
 * @param heartbeatMillis interval between heartbeats
 * @param suspectAfterMillis silence after which a watcher suspects a host
 * @param probeTimeoutMillis timeout of direct probes and of the responses to indirect probes
 * @param tickMillis interval at which {@link Membership#tick} is called
 * @param retryMillis interval of probes of dead, unreachable and hinted hosts
 * @param deadHostRetentionMillis how long a dead host stays in the view
 * @param recentChangeMillis how long a changed record is included in every heartbeat
 * @param fullMeshHosts fleet size up to which each host sends heartbeats to all others
 * @param domainWatchers in a larger fleet, number of hosts of its own domain that watch a host
 * @param otherWatchers additional number of hosts of other domains that watch it
 * @param indirectProbes number of other hosts that are requested to probe a suspect
 * @param gossipRecords number of records that each heartbeat carries in rotation
 */
public record MembershipSettings(
        long heartbeatMillis,
        long suspectAfterMillis,
        long probeTimeoutMillis,
        long tickMillis,
        long retryMillis,
        long deadHostRetentionMillis,
        long recentChangeMillis,
        int fullMeshHosts,
        int domainWatchers,
        int otherWatchers,
        int indirectProbes,
        int gossipRecords) {

    /** Default settings, which meet the bounds stated above. */
    public static final MembershipSettings DEFAULTS =
            new MembershipSettings(500, 800, 300, 50, 1_000, 1_800_000, 3_000, 12, 3, 1, 3, 2);

    public MembershipSettings {
        if (heartbeatMillis <= 0 || suspectAfterMillis <= heartbeatMillis) {
            throw new IllegalArgumentException(
                    "suspicion after "
                            + suspectAfterMillis
                            + " ms must be longer than the heartbeat interval of "
                            + heartbeatMillis
                            + " ms");
        }
        if (probeTimeoutMillis <= 0 || tickMillis <= 0 || retryMillis <= 0) {
            throw new IllegalArgumentException(
                    "probe timeout "
                            + probeTimeoutMillis
                            + " ms, tick "
                            + tickMillis
                            + " ms and retry "
                            + retryMillis
                            + " ms must be above 0");
        }
        if (domainWatchers < 1 || otherWatchers < 0 || indirectProbes < 0 || gossipRecords < 0) {
            throw new IllegalArgumentException(
                    "watchers " + domainWatchers + " must be above 0, and no count negative");
        }
    }
}
