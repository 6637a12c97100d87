package org.cyclamenpaddle.router.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.cyclamenpaddle.routing.placement.PlacementPolicy;

/**
 * Keys of a settings file, with section, type, default and description.
 *
 * <p>This table drives the validation of settings files; {@code docs/SETTINGS.md} must match it.
 */
public enum SettingKey {
    HOST_NAME("host", "name", SettingType.NAME, "Name of this entry host, unique in the fleet."),
    HOST_FAILURE_DOMAIN("host", "failure_domain", SettingType.NAME, "Failure domain of this host."),
    HOST_ADDRESS(
            "host",
            "address",
            SettingType.IP_ADDRESS,
            "IP number that this host listens on and that peers use to reach it."),
    HOST_HTTP_PORT("host", "http_port", ports(), integer(7_100), "Port for callers and operators."),
    HOST_PEER_PORT("host", "peer_port", ports(), integer(7_200), "Port for other entry hosts."),

    PLATFORM_ADDRESS(
            "platform", "address", SettingType.IP_ADDRESS, "IP number of the platform's service."),
    PLATFORM_PORT("platform", "port", ports(), integer(7_000), "Port of the platform's service."),
    PLATFORM_TIMEOUT(
            "platform",
            "timeout_ms",
            SettingRange.between(10, 60_000),
            integer(1_000),
            "Longest wait for the platform's response to one call, in milliseconds."),

    PEERS_SEEDS(
            "peers",
            "seeds",
            SettingType.ADDRESSES,
            SettingRange.ANY,
            JsonNodeFactory.instance.arrayNode(),
            "Peer ports of a few entry hosts, queried for members and for the configuration while"
                    + " the platform is unreachable."),

    LIMITS_BODY_BYTES(
            "limits",
            "body_bytes",
            SettingRange.between(1_024, 1L << 28),
            integer(4L << 20),
            "Longest request body, in bytes."),
    LIMITS_PROMPT_TOKENS(
            "limits",
            "prompt_tokens",
            SettingRange.between(1, 1_000_000),
            integer(65_536),
            "Longest prompt, in estimated tokens."),
    LIMITS_CONCURRENT_REQUESTS(
            "limits",
            "concurrent_requests",
            SettingRange.between(1, 1_000_000),
            integer(4_096),
            "Requests of one service in progress on this host; from four fifths of it on, each"
                    + " team is limited to its share."),
    LIMITS_RETRY_SHARE(
            "limits",
            "retry_share",
            SettingType.FRACTION,
            SettingRange.between(0, 1),
            fraction(0.1),
            "Retries allowed for each fresh request of a service."),
    LIMITS_QUARANTINE(
            "limits",
            "quarantine_ms",
            SettingRange.between(1_000, 86_400_000),
            integer(600_000),
            "How long a request that crashed backend servers is refused, in milliseconds."),

    TIMING_RECONCILE(
            "timing",
            "reconcile_ms",
            SettingRange.between(10, 60_000),
            integer(1_000),
            "Time between comparisons of backend servers with the preset, in milliseconds."),
    TIMING_STOP_GRACE(
            "timing",
            "stop_grace_ms",
            SettingRange.between(0, 3_600_000),
            integer(30_000),
            "Time in a planned stop for the balancer to stop sending requests, in milliseconds."),
    TIMING_LOAD_POLL(
            "timing",
            "load_poll_ms",
            SettingRange.between(10, 60_000),
            integer(250),
            "Time between reads of an engine's load, in milliseconds."),
    TIMING_STREAM_SILENCE(
            "timing",
            "stream_silence_ms",
            SettingRange.between(10, 600_000),
            integer(1_500),
            "Silence after which a token stream is resumed by a new connection, in milliseconds."),
    TIMING_TRANSFER(
            "timing",
            "transfer_ms",
            SettingRange.between(1, 60_000),
            integer(1_500),
            "Longest transfer of KV cache, in milliseconds."),

    ROUTING_POLICY(
            "routing",
            "policy",
            SettingType.CHOICE,
            SettingRange.of(PlacementPolicy.values()),
            JsonNodeFactory.instance.textNode(PlacementPolicy.TIMED_GRANTS.name()),
            "Placement policy; all but TIMED_GRANTS are baselines for comparison."),
    ROUTING_EXPECTED_OUTPUT_TOKENS(
            "routing",
            "expected_output_tokens",
            SettingRange.between(1, 100_000),
            integer(128),
            "Output tokens expected of a request before its service has a history."),

    BOOKINGS_RETENTION(
            "bookings",
            "retention_hours",
            SettingRange.between(1, 720),
            integer(24),
            "How long the claim of an Idempotency-Key is kept, in hours."),
    BOOKINGS_SHARDS(
            "bookings",
            "shards",
            SettingRange.between(1, 4_096),
            integer(64),
            "Objects that claims are spread over; the same on every host."),

    LOG_FORMAT(
            "log",
            "format",
            SettingType.CHOICE,
            SettingRange.of("human", "json"),
            JsonNodeFactory.instance.textNode("human"),
            "Form of log lines."),
    LOG_LEVEL(
            "log",
            "level",
            SettingType.CHOICE,
            SettingRange.of("debug", "info", "warn", "error"),
            JsonNodeFactory.instance.textNode("info"),
            "Least severe level that is written.");

    private final String mSection;
    private final String mKey;
    private final SettingType mType;
    private final SettingRange mRange;
    private final Optional<JsonNode> mDefault;
    private final String mDescription;

    SettingKey(String section, String key, SettingType type, String description) {
        this(section, key, type, SettingRange.ANY, Optional.empty(), description);
    }

    SettingKey(String section, String key, SettingRange range, JsonNode value, String description) {
        this(section, key, SettingType.INTEGER, range, Optional.of(value), description);
    }

    SettingKey(
            String section,
            String key,
            SettingType type,
            SettingRange range,
            JsonNode value,
            String description) {
        this(section, key, type, range, Optional.of(value), description);
    }

    SettingKey(
            String section,
            String key,
            SettingType type,
            SettingRange range,
            Optional<JsonNode> defaultValue,
            String description) {
        mSection = section;
        mKey = key;
        mType = type;
        mRange = range;
        mDefault = defaultValue;
        mDescription = description;
    }

    /** Returns the qualified key for messages: {@code section.key}. */
    public String path() {
        return mSection + "." + mKey;
    }

    /** Returns the section that contains the key. */
    public String section() {
        return mSection;
    }

    /** Returns the key within its section. */
    public String key() {
        return mKey;
    }

    /** Returns the default value; empty if the file must contain the key. */
    public Optional<JsonNode> defaultValue() {
        return mDefault;
    }

    /** Returns a description of the allowed values, for messages and the documentation. */
    public String allowed() {
        return mType.allowed(mRange);
    }

    /** Returns a one-sentence description of the setting, with its unit. */
    public String description() {
        return mDescription;
    }

    /** Finds a key by section and name. */
    public static Optional<SettingKey> find(String section, String key) {
        return inSection(section).stream().filter(k -> k.mKey.equals(key)).findFirst();
    }

    /** Returns the keys of {@code section}; empty if there is no such section. */
    public static List<SettingKey> inSection(String section) {
        return Arrays.stream(values()).filter(k -> k.mSection.equals(section)).toList();
    }

    boolean accepts(JsonNode value) {
        return mType.accepts(value, mRange);
    }

    private static SettingRange ports() {
        return SettingRange.between(1, 65_535);
    }

    private static JsonNode integer(long value) {
        return JsonNodeFactory.instance.numberNode(value);
    }

    private static JsonNode fraction(double value) {
        return JsonNodeFactory.instance.numberNode(value);
    }
}
