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

/** {@code /healthz}, {@code /readyz} and {@code /metrics}. */
public final class StatusServices {

    private static final MediaType METRICS = MediaType.parse("text/plain; version=0.0.4");

    private StatusServices() {}

    /** Answers 200 as long as the process lives. */
    public static HttpService health() {
        return (context, request) -> HttpResponse.of(HttpStatus.OK, MediaType.PLAIN_TEXT, "ok\n");
    }

    /**
     * Answers 200 if the host takes new work.
     *
     * @param notReady why it does not; empty if it does
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

    /** Answers with all metrics. */
    public static HttpService metrics(RouterMetrics metrics) {
        return (context, request) -> HttpResponse.of(HttpStatus.OK, METRICS, metrics.scrape());
    }
}
