package org.cyclamenpaddle.router.settings;

import java.util.List;
import java.util.Locale;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.routing.placement.PlacementPolicy;

/**
 * Settings of one entry host, read once at startup.
 *
 * @param host identity and addresses of this host
 * @param platform address of the platform's service
 * @param peers addresses of other entry hosts
 * @param limits limits on requests of callers
 * @param timing periods and timeouts
 * @param routing how requests are placed
 * @param bookings claims of non-idempotent calls
 * @param log format and level of the log
 */
public record RouterSettings(
        Host host,
        Platform platform,
        Peers peers,
        Limits limits,
        Timing timing,
        Routing routing,
        Bookings bookings,
        Log log) {

    static RouterSettings of(SettingValues values) {
        return new RouterSettings(
                Host.of(values),
                Platform.of(values),
                new Peers(values.addresses(SettingKey.PEERS_SEEDS)),
                Limits.of(values),
                Timing.of(values),
                Routing.of(values),
                Bookings.of(values),
                Log.of(values));
    }

    /**
     * Identity and addresses of this host.
     *
     * @param name its name
     * @param failureDomain its failure domain
     * @param address literal IP address that it listens on
     * @param httpPort port for callers and operators
     * @param peerPort port for other entry hosts
     */
    public record Host(
            HostId name, FailureDomain failureDomain, String address, int httpPort, int peerPort) {

        public Host {
            if (httpPort == peerPort) {
                throw new IllegalArgumentException(
                        "host.http_port and host.peer_port are both " + httpPort);
            }
        }

        static Host of(SettingValues values) {
            return new Host(
                    new HostId(values.text(SettingKey.HOST_NAME)),
                    new FailureDomain(values.text(SettingKey.HOST_FAILURE_DOMAIN)),
                    values.text(SettingKey.HOST_ADDRESS),
                    values.intValue(SettingKey.HOST_HTTP_PORT),
                    values.intValue(SettingKey.HOST_PEER_PORT));
        }
    }

    /**
     * Address of the platform's service.
     *
     * @param address literal IP address
     * @param port TCP port
     * @param timeoutMillis maximum wait for one response, in milliseconds
     */
    public record Platform(String address, int port, long timeoutMillis) {

        static Platform of(SettingValues values) {
            return new Platform(
                    values.text(SettingKey.PLATFORM_ADDRESS),
                    values.intValue(SettingKey.PLATFORM_PORT),
                    values.longValue(SettingKey.PLATFORM_TIMEOUT));
        }
    }

    /**
     * Addresses of other entry hosts.
     *
     * @param seeds peer addresses of some of them
     */
    public record Peers(List<PeerAddress> seeds) {

        public Peers {
            seeds = List.copyOf(seeds);
        }
    }

    /**
     * Limits on requests of callers.
     *
     * @param bodyBytes maximum size of a request body, in bytes
     * @param promptTokens maximum length of a prompt, in estimated tokens
     * @param concurrentRequests maximum number of requests in flight on this host
     * @param retryShare retries allowed per new request, 0 to 1
     * @param quarantineMillis time for which a request that crashed backend servers is refused, in
     *     milliseconds
     */
    public record Limits(
            long bodyBytes,
            int promptTokens,
            int concurrentRequests,
            double retryShare,
            long quarantineMillis) {

        static Limits of(SettingValues values) {
            return new Limits(
                    values.longValue(SettingKey.LIMITS_BODY_BYTES),
                    values.intValue(SettingKey.LIMITS_PROMPT_TOKENS),
                    values.intValue(SettingKey.LIMITS_CONCURRENT_REQUESTS),
                    values.doubleValue(SettingKey.LIMITS_RETRY_SHARE),
                    values.longValue(SettingKey.LIMITS_QUARANTINE));
        }
    }

    /**
     * Periods and timeouts, all in milliseconds.
     *
     * @param reconcileMillis interval at which backend servers are compared with the preset
     * @param stopGraceMillis time in a planned stop for the load balancer to stop sending requests
     * @param loadPollMillis interval at which an engine's load is polled
     * @param streamSilenceMillis silence after which a token stream is resumed
     * @param transferMillis timeout for a transfer of KV cache
     */
    public record Timing(
            long reconcileMillis,
            long stopGraceMillis,
            long loadPollMillis,
            long streamSilenceMillis,
            long transferMillis) {

        static Timing of(SettingValues values) {
            return new Timing(
                    values.longValue(SettingKey.TIMING_RECONCILE),
                    values.longValue(SettingKey.TIMING_STOP_GRACE),
                    values.longValue(SettingKey.TIMING_LOAD_POLL),
                    values.longValue(SettingKey.TIMING_STREAM_SILENCE),
                    values.longValue(SettingKey.TIMING_TRANSFER));
        }
    }

    /**
     * How requests are placed.
     *
     * @param policy how backend servers are ordered
     * @param expectedOutputTokens output tokens expected of a request whose service has no history
     */
    public record Routing(PlacementPolicy policy, int expectedOutputTokens) {

        static Routing of(SettingValues values) {
            return new Routing(
                    PlacementPolicy.valueOf(values.text(SettingKey.ROUTING_POLICY)),
                    values.intValue(SettingKey.ROUTING_EXPECTED_OUTPUT_TOKENS));
        }
    }

    /**
     * Claims of non-idempotent calls.
     *
     * @param retentionHours retention period of a claim, in hours
     * @param shards number of objects that claims are distributed over
     */
    public record Bookings(int retentionHours, int shards) {

        static Bookings of(SettingValues values) {
            return new Bookings(
                    values.intValue(SettingKey.BOOKINGS_RETENTION),
                    values.intValue(SettingKey.BOOKINGS_SHARDS));
        }
    }

    /**
     * Format and level of the log.
     *
     * @param format format of its lines
     * @param level least severe level that is written, in lower case
     */
    public record Log(LogFormat format, String level) {

        static Log of(SettingValues values) {
            String format = values.text(SettingKey.LOG_FORMAT);
            return new Log(
                    LogFormat.valueOf(format.toUpperCase(Locale.ROOT)),
                    values.text(SettingKey.LOG_LEVEL));
        }
    }
}
