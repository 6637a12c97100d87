package org.cyclamenpaddle.fleet.membership;

/**
 * Timings and sizes of membership.
 *
 * <p>How the defaults free engine memory within 2,000 ms of a host's death, in the worst case of a
 * machine that falls silent (a killed process resets its connections, which is faster):
 *
 * <ul>
 *   <li>the last heartbeat arrives right at the death; a watcher suspects after 800 ms and sees it
 *       at its next tick, 50 ms later: 850 ms;
 *   <li>its own new connection and those of the hosts it asks fail after 300 ms, seen at a tick:
 *       1,200 ms;
 *   <li>the news takes two hops, to all hosts of the domain and through delegates to the others,
 *       and each receiver tries its own new connection, 300 ms and a tick: 1,550 ms and the hops;
 *   <li>the owner lists the engine's attempts and cancels: two round trips.
 * </ul>
 *
 * <p>This leaves about 400 ms for the hops and the engine's round trips. A live host that is paused
 * for less than 600 ms is never called dead: at most 500 ms after its last heartbeat, so 1,100 ms
 * of silence, a watcher's new connection still gets through.
 *
 * @param heartbeatMillis interval between heartbeats
 * @param suspectAfterMillis silence after which a watcher suspects a host
 * @param probeTimeoutMillis time for a new connection and for the answers of the hosts asked
 * @param tickMillis interval at which {@link Membership#tick} is called
 * @param retryMillis interval of tries to reach dead, unreachable and hinted hosts
 * @param deadHostRetentionMillis how long a dead host stays in the view
 * @param recentChangeMillis how long a changed record is repeated in each heartbeat
 * @param fullMeshHosts up to so many hosts, each sends heartbeats to all others
 * @param domainWatchers in a greater fleet, how many hosts of its domain watch a host
 * @param otherWatchers how many hosts of other domains watch it besides
 * @param indirectProbes how many other hosts are asked to try a suspect
 * @param gossipRecords how many records each heartbeat carries in turn
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

    /** Settings that meet the bounds named above. */
    public static final MembershipSettings DEFAULTS =
            new MembershipSettings(500, 800, 300, 50, 1_000, 1_800_000, 3_000, 12, 3, 1, 3, 2);

    public MembershipSettings {
        if (heartbeatMillis <= 0 || suspectAfterMillis <= heartbeatMillis) {
            throw new IllegalArgumentException(
                    "suspicion after "
                            + suspectAfterMillis
                            + " ms must come after a heartbeat interval of "
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
