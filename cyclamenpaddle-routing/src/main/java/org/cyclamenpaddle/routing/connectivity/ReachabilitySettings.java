package org.cyclamenpaddle.routing.connectivity;

/**
 * Settings of {@link BackendReachability}.
 *
 * @param minServers servers of a service to which new connections must fail; all of them, if it has
 *     fewer
 * @param quietMillis time without a response of any server after which one path is checked; a
 *     service that was reached is not checked again for as long
 * @param oldConnectionsMillis the same for responses over connections that were open before, which
 *     may live on while new ones fail
 * @param recheckMillis interval of checks while a service is cut off
 * @param evidenceMillis time for which a failed check counts
 */
public record ReachabilitySettings(
        int minServers,
        long quietMillis,
        long oldConnectionsMillis,
        long recheckMillis,
        long evidenceMillis) {

    /** Detects a cut within two seconds on a host without requests, and its end within one. */
    public static final ReachabilitySettings DEFAULTS =
            new ReachabilitySettings(4, 1_500, 4_000, 700, 3_000);

    public ReachabilitySettings {
        if (minServers < 1
                || quietMillis < 1
                || oldConnectionsMillis < quietMillis
                || recheckMillis < 1
                || evidenceMillis < 1) {
            throw new IllegalArgumentException(
                    "settings must be at least 1, and connections old after a quiet time");
        }
    }
}
