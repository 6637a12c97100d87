package org.cyclamenpaddle.relay.metric;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.cyclamenpaddle.core.id.TeamName;

/** Metrics of the relay; thread-safe. */
public final class RelayMetrics {

    private static final String PREFIX = "cyclamenpaddle_relay_";
    private static final String REASON = "reason";

    /** Maximum number of teams with metrics of their own. */
    static final int MAX_TEAMS = 64;

    private static final String OTHER_TEAMS = "other";

    private final Map<Enum<?>, Timer> mTimers = new ConcurrentHashMap<>();
    private final Set<String> mTeams = ConcurrentHashMap.newKeySet();
    private final PrometheusMeterRegistry mRegistry =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

    /**
     * Records a request that ended with a backend server's own response.
     *
     * @param kind kind of its route
     * @param millis time from its arrival to its end, in milliseconds
     */
    public void recordResponse(Enum<?> kind, long millis) {
        mTimers.computeIfAbsent(kind, this::timer).record(millis, TimeUnit.MILLISECONDS);
    }

    /** Records a request that ended without a backend server's response. */
    public void recordRefusal(Enum<?> reason) {
        counter("refusals", REASON, tag(reason)).increment();
    }

    /**
     * Records a request for engines that ended without a backend server's response.
     *
     * @param level its position among the priorities of its service
     */
    public void recordUrgencyRefusal(Enum<?> level, Enum<?> reason) {
        Counter.builder(PREFIX + "generation_refusals")
                .tag("urgency", tag(level))
                .tag(REASON, tag(reason))
                .register(mRegistry)
                .increment();
    }

    /** Records a send that was followed by another one. */
    public void recordRetry(Enum<?> reason) {
        counter("retries", REASON, tag(reason)).increment();
    }

    /**
     * Records a decision by the quota of a team.
     *
     * <p>Teams beyond {@link #MAX_TEAMS} share a label, which bounds the size of a scrape.
     *
     * @param team the team
     * @param admitted whether the request was admitted
     * @param units units that it costs
     */
    public void recordQuota(TeamName team, boolean admitted, long units) {
        String label = team.value();
        if (!mTeams.contains(label)) {
            label = mTeams.size() < MAX_TEAMS && mTeams.add(label) ? label : OTHER_TEAMS;
        }
        Counter.builder(PREFIX + "quota_units")
                .tag("team", label)
                .tag("decision", admitted ? "admitted" : "denied")
                .register(mRegistry)
                .increment(units);
    }

    /** Records a directive of a backend server that was set, changed or lifted. */
    public void recordDirective(Enum<?> kind) {
        counter("directives", "kind", tag(kind)).increment();
    }

    /**
     * Records a body that did not fit into the memory for requests.
     *
     * @param reason the bound that it exceeded
     */
    public void recordBytesRefused(Enum<?> reason) {
        counter("bytes_refused", REASON, tag(reason)).increment();
    }

    /** Records an entry of the store that cannot be used. */
    public void recordUnusableEntry(String kind) {
        counter("entries_unusable", "kind", kind).increment();
    }

    /** Records how the response of a backend server ended. */
    public void recordResponseEnd(Enum<?> end) {
        counter("response_ends", "end", tag(end)).increment();
    }

    /** Records bytes on a connection to a backend server that answer no request. */
    public void recordForeignBytes(Enum<?> kind) {
        counter("foreign_bytes", "kind", tag(kind)).increment();
    }

    /** Records a decision on a request whose server is silent. */
    public void recordSilence(Enum<?> decision) {
        counter("silences", "decision", tag(decision)).increment();
    }

    /** Records an event around requests that are handed over. */
    public void recordHandover(Enum<?> kind) {
        counter("handovers", "kind", tag(kind)).increment();
    }

    /** Records an event around streams that callers may take up. */
    public void recordStream(Enum<?> kind) {
        counter("stream_events", "kind", tag(kind)).increment();
    }

    /** Records an event around the ends of backend servers. */
    public void recordCrashEvent(Enum<?> kind) {
        counter("crash_events", "kind", tag(kind)).increment();
    }

    /** Records a frame between hosts that was rejected or dropped. */
    public void recordLostFrame(Enum<?> reason) {
        counter("peer_frames_lost", REASON, tag(reason)).increment();
    }

    /** Records a new connection of a caller that was closed unread. */
    public void recordConnectionClosed() {
        counter("connections_closed", REASON, "late").increment();
    }

    /** Records a caller that disconnected before its response. */
    public void recordDisconnect() {
        counter("callers_gone", REASON, "left").increment();
    }

    /**
     * Registers a gauge.
     *
     * @param name name of the gauge, without the common prefix
     * @param reading supplies its value at each scrape
     */
    public void gauge(String name, Supplier<Number> reading) {
        Gauge.builder(PREFIX + name, reading).register(mRegistry);
    }

    /** Returns all metrics in the Prometheus text format. */
    public String text() {
        return mRegistry.scrape();
    }

    private Timer timer(Enum<?> kind) {
        return Timer.builder(PREFIX + "request")
                .tag("kind", tag(kind))
                .publishPercentileHistogram(false)
                .serviceLevelObjectives(
                        Duration.ofMillis(50),
                        Duration.ofMillis(100),
                        Duration.ofMillis(300),
                        Duration.ofMillis(1_000),
                        Duration.ofMillis(4_000))
                .register(mRegistry);
    }

    private Counter counter(String name, String tag, String value) {
        return Counter.builder(PREFIX + name).tag(tag, value).register(mRegistry);
    }

    private static String tag(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
