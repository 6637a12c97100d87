package org.cyclamenpaddle.relay.assembly;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.metric.NoopMeterRegistry;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServerBuilder;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.function.Supplier;
import org.cyclamenpaddle.relay.front.NewConnections;
import org.cyclamenpaddle.relay.settings.Endpoint;

/** Creates the servers of a relay, which are not started. */
final class RelayServers {

    /**
     * Idle timeout of a caller's connection, in milliseconds.
     *
     * <p>Longer than any configuration allows, so that a caller never sends a request on a
     * connection that has just been closed by the relay.
     */
    private static final long CALLER_IDLE_MILLIS = 120_000;

    /** Maximum body size, in bytes; configurations allow 4 MiB. */
    private static final long MAX_BODY_BYTES = 8L << 20;

    /** Maximum size of the header block, in bytes; configurations allow 16 KiB. */
    private static final int MAX_HEADER_BYTES = 32 << 10;

    /** Name of the servers in the library's own log; by default it asks the operating system. */
    private static final String LOCAL_NAME = "localhost";

    private static final String READY_PATH = "/v1/ready";
    private static final String METRICS_PATH = "/metrics";

    private RelayServers() {}

    /** Returns a server for the requests of callers, whose connections may be closed unread. */
    static Server callers(Endpoint listen, HttpService service, NewConnections connections) {
        return requestServer(listen, service)
                .childChannelPipelineCustomizer(connections::addTo)
                .build();
    }

    /** Returns a server for the requests of other hosts. */
    static Server requests(Endpoint listen, HttpService service) {
        return requestServer(listen, service).build();
    }

    private static ServerBuilder requestServer(Endpoint listen, HttpService service) {
        return Server.builder()
                .http(address(listen))
                .requestTimeout(Duration.ZERO)
                .idleTimeoutMillis(CALLER_IDLE_MILLIS)
                .maxRequestLength(MAX_BODY_BYTES)
                .http1MaxHeaderSize(MAX_HEADER_BYTES)
                .http1MaxInitialLineLength(MAX_HEADER_BYTES)
                .gracefulShutdownTimeout(Duration.ZERO, Duration.ZERO)
                .meterRegistry(NoopMeterRegistry.get())
                .defaultHostname(LOCAL_NAME)
                .disableServerHeader()
                .disableDateHeader()
                .serviceUnder("/", service);
    }

    /** Returns a server for the balancer's check and for metrics. */
    static Server checks(
            Endpoint listen, Supplier<HttpResponse> readiness, Supplier<HttpResponse> metrics) {
        return Server.builder()
                .http(address(listen))
                .gracefulShutdownTimeout(Duration.ZERO, Duration.ZERO)
                .meterRegistry(NoopMeterRegistry.get())
                .defaultHostname(LOCAL_NAME)
                .service(READY_PATH, (context, request) -> readiness.get())
                .service(METRICS_PATH, (context, request) -> metrics.get())
                .build();
    }

    private static InetSocketAddress address(Endpoint endpoint) {
        return new InetSocketAddress(endpoint.address(), endpoint.port());
    }
}
