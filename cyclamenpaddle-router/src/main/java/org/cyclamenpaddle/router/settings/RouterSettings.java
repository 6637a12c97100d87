package org.cyclamenpaddle.router.settings;

import java.util.List;
import java.util.Locale;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.routing.placement.PlacementPolicy;

/**
 * Settings of one entry host, read once at its start.
 *
 * @param host who and where this host is
 * @param platform where the platform's service is
 * @param peers where other entry hosts are
 * @param limits bounds on what callers may ask
 * @param timing periods and timeouts
 * @param routing how requests are placed
 * @param bookings claims of calls that may not repeat
 * @param log form of the log
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
     * Who and where this host is.
     *
     * @param name its name
     * @param failureDomain its failure domain
     * @param address IP number that it listens on
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
                    values.number(SettingKey.HOST_HTTP_PORT),
                    values.number(SettingKey.HOST_PEER_PORT));
        }
    }

    /**
     * Where the platform's service is.
     *
     * @param address IP number
     * @param port TCP port
     * @param timeoutMillis longest wait for one answer, in milliseconds
     */
    public record Platform(String address, int port, long timeoutMillis) {

        static Platform of(SettingValues values) {
            return new Platform(
                    values.text(SettingKey.PLATFORM_ADDRESS),
                    values.number(SettingKey.PLATFORM_PORT),
                    values.millis(SettingKey.PLATFORM_TIMEOUT));
        }
    }

    /**
     * Where other entry hosts are.
     *
     * @param seeds peer ports of a few of them
     */
    public record Peers(List<PeerAddress> seeds) {

        public Peers {
            seeds = List.copyOf(seeds);
        }
    }

    /**
     * Bounds on what callers may ask.
     *
     * @param bodyBytes longest request body, in bytes
     * @param promptTokens longest prompt, in estimated tokens
     * @param concurrentRequests requests in flight on this host
     * @param retryShare retries for each fresh request, 0 to 1
     * @param quarantineMillis how long a crashing request is refused, in milliseconds
     */
    public record Limits(
            long bodyBytes,
            int promptTokens,
            int concurrentRequests,
            double retryShare,
            long quarantineMillis) {

        static Limits of(SettingValues values) {
            return new Limits(
                    values.millis(SettingKey.LIMITS_BODY_BYTES),
                    values.number(SettingKey.LIMITS_PROMPT_TOKENS),
                    values.number(SettingKey.LIMITS_CONCURRENT_REQUESTS),
                    values.share(SettingKey.LIMITS_RETRY_SHARE),
                    values.millis(SettingKey.LIMITS_QUARANTINE));
        }
    }

    /**
     * Periods and timeouts, all in milliseconds.
     *
     * @param reconcileMillis time between comparisons of backend servers with the preset
     * @param stopGraceMillis time in a planned stop for the balancer to turn away
     * @param loadPollMillis time between reads of an engine's load
     * @param streamSilenceMillis silence after which a token stream is resumed
     * @param transferMillis longest transfer of KV cache
     */
    public record Timing(
            long reconcileMillis,
            long stopGraceMillis,
            long loadPollMillis,
            long streamSilenceMillis,
            long transferMillis) {

        static Timing of(SettingValues values) {
            return new Timing(
                    values.millis(SettingKey.TIMING_RECONCILE),
                    values.millis(SettingKey.TIMING_STOP_GRACE),
                    values.millis(SettingKey.TIMING_LOAD_POLL),
                    values.millis(SettingKey.TIMING_STREAM_SILENCE),
                    values.millis(SettingKey.TIMING_TRANSFER));
        }
    }

    /**
     * How requests are placed.
     *
     * @param policy how backend servers are ordered
     * @param expectedOutputTokens output tokens expected of a request without a history
     */
    public record Routing(PlacementPolicy policy, int expectedOutputTokens) {

        static Routing of(SettingValues values) {
            return new Routing(
                    PlacementPolicy.valueOf(values.text(SettingKey.ROUTING_POLICY)),
                    values.number(SettingKey.ROUTING_EXPECTED_OUTPUT_TOKENS));
        }
    }

    /**
     * Claims of calls that may not repeat.
     *
     * @param retentionHours how long a claim is kept, in hours
     * @param shards objects that claims are spread over
     */
    public record Bookings(int retentionHours, int shards) {

        static Bookings of(SettingValues values) {
            return new Bookings(
                    values.number(SettingKey.BOOKINGS_RETENTION),
                    values.number(SettingKey.BOOKINGS_SHARDS));
        }
    }

    /**
     * Form of the log.
     *
     * @param format form of its lines
     * @param level least severe level that is written, lower case
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
