package org.cyclamenpaddle.engine.plain;

import com.linecorp.armeria.client.ClientRequestContext;
import com.linecorp.armeria.client.ClientRequestContextCaptor;
import com.linecorp.armeria.client.Clients;
import com.linecorp.armeria.client.RequestOptions;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import io.vavr.control.Try;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.engine.http.BackendConnections;
import org.cyclamenpaddle.engine.http.CallFailure;

/** Forwards calls to plain services and tells exactly whether one may have run. */
public final class PlainServiceClient {

    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final String ATTEMPT = "X-Attempt";

    private final BackendConnections mConnections;

    /**
     * Creates the client.
     *
     * @param connections opens a new connection for each call, which is what makes {@link
     *     PlainResult.NothingSent} provable
     */
    public PlainServiceClient(BackendConnections connections) {
        mConnections = connections;
    }

    /**
     * Forwards a call once; it is never sent again from here.
     *
     * @param backend the plain service instance
     * @param call the call; one that HTTP has no form for, such as an unknown method, is not sent
     * @return completes with a result in every case; never exceptionally
     */
    public CompletableFuture<PlainResult> call(BackendSpec backend, PlainRequest call) {
        return Try.of(() -> request(call))
                .map(request -> send(backend, request, call.timeoutMillis()))
                .getOrElseGet(
                        unfit ->
                                CompletableFuture.completedFuture(
                                        new PlainResult.NothingSent(String.valueOf(unfit))));
    }

    private CompletableFuture<PlainResult> send(
            BackendSpec backend, HttpRequest request, long timeoutMillis) {
        RequestOptions options =
                RequestOptions.builder().responseTimeoutMillis(timeoutMillis).build();
        try (ClientRequestContextCaptor captor = Clients.newContextCaptor()) {
            CompletableFuture<AggregatedHttpResponse> answer =
                    mConnections.client(backend).execute(request, options).aggregate();
            ClientRequestContext context = captor.get();
            return answer.handle(
                    (response, failure) ->
                            failure == null ? answered(response) : failed(context, failure));
        }
    }

    private static HttpRequest request(PlainRequest call) {
        RequestHeadersBuilder headers =
                RequestHeaders.builder(HttpMethod.valueOf(call.method()), call.pathAndQuery())
                        .add(ATTEMPT, call.attempt().value());
        call.idempotencyKey().ifPresent(key -> headers.add(IDEMPOTENCY_KEY, key));
        call.contentType().ifPresent(type -> headers.add(HttpHeaderNames.CONTENT_TYPE, type));
        return HttpRequest.of(headers.build(), HttpData.wrap(call.body()));
    }

    private static PlainResult answered(AggregatedHttpResponse response) {
        return new PlainResult.Response(
                response.status().code(),
                response.headers().get(HttpHeaderNames.CONTENT_TYPE, ""),
                response.content().array());
    }

    private static PlainResult failed(ClientRequestContext context, Throwable failure) {
        String reason = String.valueOf(CallFailure.cause(failure));
        return CallFailure.of(context, failure) == CallFailure.NOT_CONNECTED
                ? new PlainResult.NothingSent(reason)
                : new PlainResult.MaybeSent(reason);
    }
}
