package org.cyclamenpaddle.router.metric;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.outcome.RefusalReason;
import org.cyclamenpaddle.core.outcome.RetryReason;
import org.cyclamenpaddle.core.outcome.RunOutcome;

/** Metrics of one entry host; thread-safe. */
public final class RouterMetrics {

    private static final String IN = "in";
    private static final String OUT = "out";

    private final PrometheusMeterRegistry mRegistry =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Map<ServiceName, ServiceMeters> mServices = new ConcurrentHashMap<>();
    private final Map<RefusalReason, Counter> mRefusals;
    private final Map<RetryReason, Counter> mRetries;
    private final Map<RunOutcome, Counter> mBookings;
    private final Map<String, Counter> mOwnershipMoves;
    private final Map<String, Counter> mPeerBytes;

    /** Creates the metrics and registers the counter of every known reason at 0. */
    public RouterMetrics() {
        mRefusals =
                counters(
                        MetricName.REFUSALS,
                        "reason",
                        Arrays.stream(RefusalReason.values()),
                        RefusalReason::code);
        mRetries =
                counters(
                        MetricName.RETRIES,
                        "reason",
                        Arrays.stream(RetryReason.values()),
                        RetryReason::code);
        mBookings =
                counters(
                        MetricName.BOOKINGS,
                        "outcome",
                        Arrays.stream(RunOutcome.values()),
                        RunOutcome::code);
        mOwnershipMoves =
                counters(
                        MetricName.OWNERSHIP_MOVES,
                        "direction",
                        Stream.of("taken", "given"),
                        direction -> direction);
        mPeerBytes =
                counters(
                        MetricName.PEER_BYTES,
                        "direction",
                        Stream.of(IN, OUT),
                        direction -> direction);
    }

    /** Counts a received request. */
    public void recordRequest(ServiceName service) {
        meters(service).requests().increment();
    }

    /**
     * Counts a request whose response was complete.
     *
     * @param service service of the request
     * @param withinTargets whether both latency targets were met
     */
    public void recordResponse(ServiceName service, boolean withinTargets) {
        meters(service).answered().increment();
        meters(service).goodput().increment(withinTargets ? 1 : 0);
    }

    /** Counts a request that was refused or ended without a complete response. */
    public void recordRefusal(RefusalReason reason) {
        mRefusals.get(reason).increment();
    }

    /** Counts an attempt that the router retries. */
    public void recordRetry(RetryReason reason) {
        mRetries.get(reason).increment();
    }

    /** Counts tokens relayed to a caller. */
    public void tokensRelayed(ServiceName service, long tokens) {
        meters(service).tokens().increment(tokens);
    }

    /** Counts uncached prompt tokens computed by a prefill. */
    public void prefillComputed(ServiceName service, long tokens) {
        meters(service).prefillTokens().increment(tokens);
    }

    /** Counts uncached prompt tokens that were computed and never used. */
    public void prefillWasted(ServiceName service, long tokens) {
        meters(service).wastedPrefillTokens().increment(tokens);
    }

    /** Records the time from a request to its first token. */
    public void firstToken(ServiceName service, long millis) {
        meters(service).firstToken().record(millis, TimeUnit.MILLISECONDS);
    }

    /** Records the time between two tokens of one response. */
    public void interToken(ServiceName service, long millis) {
        meters(service).interToken().record(millis, TimeUnit.MILLISECONDS);
    }

    /** Counts a backend server whose ownership this host acquired. */
    public void ownershipAcquired() {
        mOwnershipMoves.get("taken").increment();
    }

    /** Counts a backend server whose ownership this host released. */
    public void ownershipReleased() {
        mOwnershipMoves.get("given").increment();
    }

    /** Counts bytes received from peers. */
    public void peerBytesIn(long bytes) {
        mPeerBytes.get(IN).increment(bytes);
    }

    /** Counts bytes sent to peers. */
    public void peerBytesOut(long bytes) {
        mPeerBytes.get(OUT).increment(bytes);
    }

    /**
     * Counts a frame from a peer that was rejected.
     *
     * @param error name of the error, from a closed set
     */
    public void badPeerFrame(String error) {
        counter(MetricName.BAD_PEER_FRAMES, Tags.of("error", error)).increment();
    }

    /**
     * Counts a frame to a peer that was dropped, or a silent connection that was replaced.
     *
     * @param reason name of the reason, from a closed set
     */
    public void peerFrameDropped(String reason) {
        counter(MetricName.DROPPED_PEER_FRAMES, Tags.of("reason", reason)).increment();
    }

    /** Counts a keyed call by the outcome reported to its caller. */
    public void recordBooking(RunOutcome outcome) {
        mBookings.get(outcome).increment();
    }

    /**
     * Registers the gauges.
     *
     * @param sources suppliers that are read at each scrape and must not block
     */
    public void registerGauges(GaugeSources sources) {
        gauge(MetricName.HELD_GRANTS, sources.heldGrants());
        gauge(MetricName.IN_FLIGHT, sources.requestsInFlight());
        gauge(MetricName.CONFIGURATION_VERSION, sources.configurationVersion());
        gauge(MetricName.CONFIGURATION_AGE, sources.configurationAgeSeconds());
    }

    /** Returns the number of refusals by reason, including reasons that have not occurred. */
    public Map<RefusalReason, Long> refusals() {
        return counts(mRefusals);
    }

    /** Returns the number of retries by reason, including reasons that have not occurred. */
    public Map<RetryReason, Long> retries() {
        return counts(mRetries);
    }

    /** Returns all metrics in the Prometheus text format. */
    public String scrape() {
        return mRegistry.scrape();
    }

    private static <K> Map<K, Long> counts(Map<K, Counter> counters) {
        return counters.entrySet().stream()
                .collect(Collectors.toMap(Map.Entry::getKey, e -> (long) e.getValue().count()));
    }

    private <K> Map<K, Counter> counters(
            MetricName name, String tag, Stream<K> keys, Function<K, String> code) {
        return keys.collect(
                Collectors.toUnmodifiableMap(
                        Function.identity(), key -> counter(name, Tags.of(tag, code.apply(key)))));
    }

    private ServiceMeters meters(ServiceName service) {
        return mServices.computeIfAbsent(service, name -> ServiceMeters.of(name, mRegistry));
    }

    private Counter counter(MetricName name, Tags tags) {
        return Counter.builder(name.text())
                .description(name.description())
                .tags(tags)
                .register(mRegistry);
    }

    private void gauge(MetricName name, DoubleSupplier reading) {
        Gauge.builder(name.text(), reading::getAsDouble)
                .description(name.description())
                .register(mRegistry);
    }
}
