package org.cyclamenpaddle.router.front;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.HttpService;
import java.util.Optional;
import java.util.function.Supplier;
import org.cyclamenpaddle.core.outcome.Refusal;
import org.cyclamenpaddle.router.metric.RouterMetrics;
import org.cyclamenpaddle.router.problem.Problem;

/** HTTP services for {@code /healthz}, {@code /readyz} and {@code /metrics}. */
public final class StatusServices {

    private static final MediaType METRICS = MediaType.parse("text/plain; version=0.0.4");

    private StatusServices() {}

    /** Responds with 200 as long as the process is running. */
    public static HttpService health() {
        return (context, request) -> HttpResponse.of(HttpStatus.OK, MediaType.PLAIN_TEXT, "ok\n");
    }

    /**
     * Responds with 200 if the host accepts new work.
     *
     * @param notReady the reason why the host is not ready; empty if it is ready
     */
    public static HttpService readiness(Supplier<Optional<Refusal>> notReady) {
        return (context, request) ->
                notReady.get()
                        .map(refusal -> Problem.of(refusal).response())
                        .orElseGet(
                                () ->
                                        HttpResponse.of(
                                                HttpStatus.OK, MediaType.PLAIN_TEXT, "ready\n"));
    }

    /** Responds with all metrics in the Prometheus text format. */
    public static HttpService metrics(RouterMetrics metrics) {
        return (context, request) -> HttpResponse.of(HttpStatus.OK, METRICS, metrics.scrape());
    }
}
