package org.cyclamenpaddle.router.metric;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.Arrays;
import org.cyclamenpaddle.core.id.ServiceName;

/**
 * Meters of one service. They are looked up once and cached, because every relayed token updates
 * one of them.
 *
 * @param requests requests received
 * @param answered requests whose response was complete
 * @param goodput requests whose response was complete within both latency targets
 * @param tokens tokens relayed
 * @param prefillTokens uncached prompt tokens computed
 * @param wastedPrefillTokens uncached prompt tokens computed and never used
 * @param firstToken time to first token
 * @param interToken time between tokens
 */
record ServiceMeters(
        Counter requests,
        Counter answered,
        Counter goodput,
        Counter tokens,
        Counter prefillTokens,
        Counter wastedPrefillTokens,
        Timer firstToken,
        Timer interToken) {

    private static final Duration[] FIRST_TOKEN_BOUNDS =
            millis(50, 100, 200, 300, 400, 580, 800, 1_200, 2_000, 5_000, 10_000);
    private static final Duration[] INTER_TOKEN_BOUNDS =
            millis(5, 10, 20, 30, 44, 60, 80, 120, 200, 500, 1_000);
    private static final String SERVICE = "service";

    static ServiceMeters of(ServiceName service, MeterRegistry registry) {
        return new ServiceMeters(
                counter(MetricName.REQUESTS, service, registry),
                counter(MetricName.ANSWERED, service, registry),
                counter(MetricName.GOODPUT, service, registry),
                counter(MetricName.TOKENS, service, registry),
                counter(MetricName.PREFILL_TOKENS, service, registry),
                counter(MetricName.WASTED_PREFILL_TOKENS, service, registry),
                timer(MetricName.FIRST_TOKEN, service, FIRST_TOKEN_BOUNDS, registry),
                timer(MetricName.INTER_TOKEN, service, INTER_TOKEN_BOUNDS, registry));
    }

    private static Counter counter(MetricName name, ServiceName service, MeterRegistry registry) {
        return Counter.builder(name.text())
                .description(name.description())
                .tag(SERVICE, service.value())
                .register(registry);
    }

    private static Timer timer(
            MetricName name, ServiceName service, Duration[] bounds, MeterRegistry registry) {
        return Timer.builder(name.text())
                .description(name.description())
                .tag(SERVICE, service.value())
                .serviceLevelObjectives(bounds)
                .register(registry);
    }

    private static Duration[] millis(long... bounds) {
        return Arrays.stream(bounds).mapToObj(Duration::ofMillis).toArray(Duration[]::new);
    }
}
