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

/** HTTP server that answers by a script and keeps what it was asked. */
public final class FakePlatform implements AutoCloseable {

    private final Server mServer;
    private final Queue<AggregatedHttpRequest> mRequests = new ConcurrentLinkedQueue<>();

    public FakePlatform(Function<AggregatedHttpRequest, HttpResponse> script) {
        mServer =
                Server.builder()
                        .http(new InetSocketAddress("127.0.0.1", 0))
                        .serviceUnder("/", (context, request) -> answer(context, request, script))
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

    /** Starts the stop and does not wait for it: Armeria takes two seconds to stop its threads. */
    @Override
    public void close() {
        mServer.stop();
    }

    private HttpResponse answer(
            ServiceRequestContext context,
            HttpRequest request,
            Function<AggregatedHttpRequest, HttpResponse> script) {
        return HttpResponse.of(
                request.aggregate()
                        .thenApply(
                                whole -> {
                                    mRequests.add(whole);
                                    return script.apply(whole);
                                }));
    }
}
