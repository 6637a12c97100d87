package org.cyclamenpaddle.store.objects;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.net.InetSocketAddress;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Function;

/** HTTP server that responds by a script and records its requests. */
public final class FakePlatform implements AutoCloseable {

    private final Server mServer;
    private final Queue<AggregatedHttpRequest> mRequests = new ConcurrentLinkedQueue<>();

    public FakePlatform(Function<AggregatedHttpRequest, HttpResponse> script) {
        mServer =
                Server.builder()
                        .http(new InetSocketAddress("127.0.0.1", 0))
                        .serviceUnder("/", (context, request) -> respond(context, request, script))
                        .build();
        mServer.start().join();
    }

    public static HttpResponse json(HttpStatus status, String body) {
        return HttpResponse.of(status, MediaType.JSON_UTF_8, body);
    }

    public int port() {
        return mServer.activeLocalPort();
    }

    public AggregatedHttpRequest nextRequest() {
        return mRequests.remove();
    }

    /**
     * Initiates the stop without waiting for it, as Armeria takes two seconds to stop its threads.
     */
    @Override
    public void close() {
        mServer.stop();
    }

    private HttpResponse respond(
            ServiceRequestContext context,
            HttpRequest request,
            Function<AggregatedHttpRequest, HttpResponse> script) {
        return HttpResponse.of(
                request.aggregate()
                        .thenApply(
                                aggregated -> {
                                    mRequests.add(aggregated);
                                    return script.apply(aggregated);
                                }));
    }
}
