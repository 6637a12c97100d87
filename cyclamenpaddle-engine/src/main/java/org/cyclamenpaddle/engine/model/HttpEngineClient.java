package org.cyclamenpaddle.engine.model;

import com.linecorp.armeria.client.ClientRequestContext;
import com.linecorp.armeria.client.ClientRequestContextCaptor;
import com.linecorp.armeria.client.Clients;
import com.linecorp.armeria.client.RequestOptions;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.engine.http.BackendConnections;
import org.cyclamenpaddle.engine.http.CallFailure;

/** {@link EngineClient} over HTTP/1.1; see {@link BackendConnections} for its connections. */
public final class HttpEngineClient implements EngineClient {

    private static final String ATTEMPTS = "/v1/attempts";

    private final WebClient mClient;
    private final WebClient mKeepAliveClient;
    private final long mTimeoutMillis;
    private final EngineJson mJson = new EngineJson();

    /**
     * Creates the client; nothing is sent yet.
     *
     * @param connections opens the connections
     * @param engine the engine
     * @param timeoutMillis response timeout, in milliseconds; a prefill, an order and a decode have
     *     the timeouts of their calls, and a read that fails over a keep-alive connection is
     *     retried once over a new one
     */
    public HttpEngineClient(
            BackendConnections connections, BackendSpec engine, long timeoutMillis) {
        mClient = connections.client(engine);
        mKeepAliveClient = connections.keepAliveClient(engine);
        mTimeoutMillis = timeoutMillis;
    }

    @Override
    public CompletableFuture<Either<EngineFailure, PrefillResult>> prefill(PrefillCall call) {
        HttpRequest request = post("/v1/prefill", EngineBodies.PrefillRequest.of(call));
        return send(request, call.timeoutMillis(), EngineBodies.PrefillResponse.class)
                .thenApply(response -> response.flatMap(EngineBodies.PrefillResponse::result));
    }

    @Override
    public StreamHandle decode(DecodeCall call, EngineStreamListener listener) {
        return stream(post("/v1/decode", EngineBodies.DecodeRequest.of(call)), listener);
    }

    @Override
    public StreamHandle resume(AttemptId attempt, int fromIndex, EngineStreamListener listener) {
        String path = ATTEMPTS + "/" + attempt + "/stream?from=" + fromIndex;
        return stream(HttpRequest.of(HttpMethod.GET, path), listener);
    }

    @Override
    public CompletableFuture<Boolean> cancel(AttemptId attempt) {
        HttpRequest request = HttpRequest.of(HttpMethod.DELETE, ATTEMPTS + "/" + attempt);
        return send(request, mTimeoutMillis, EngineBodies.CancelResponse.class)
                .thenApply(response -> response.exists(EngineBodies.CancelResponse::confirms));
    }

    @Override
    public CompletableFuture<Either<EngineFailure, List<EngineAttempt>>> attempts() {
        return read(
                ATTEMPTS,
                EngineBodies.AttemptsResponse.class,
                EngineBodies.AttemptsResponse::result);
    }

    @Override
    public CompletableFuture<Either<EngineFailure, EngineLoad>> load() {
        return read("/v1/load", EngineLoad.class, Either::right);
    }

    @Override
    public CompletableFuture<Either<EngineFailure, CacheEvents>> cacheEvents(long after) {
        return read(
                "/v1/cache-events?after=" + after,
                EngineBodies.CacheEventsResponse.class,
                EngineBodies.CacheEventsResponse::result);
    }

    @Override
    public CompletableFuture<Either<EngineFailure, EngineState>> order(EngineOrder order) {
        HttpRequest request = post("/v1/orders", EngineBodies.OrderRequest.of(order));
        return send(request, order.timeoutMillis(), EngineBodies.StateResponse.class)
                .thenApply(response -> response.flatMap(EngineBodies.StateResponse::result));
    }

    @Override
    public CompletableFuture<Either<EngineFailure, EngineState>> state() {
        return read(
                "/v1/state", EngineBodies.StateResponse.class, EngineBodies.StateResponse::result);
    }

    private HttpRequest post(String path, Object body) {
        return HttpRequest.of(HttpMethod.POST, path, MediaType.JSON_UTF_8, mJson.write(body));
    }

    private <B, T> CompletableFuture<Either<EngineFailure, T>> read(
            String path, Class<B> type, Function<B, Either<EngineFailure, T>> result) {
        return get(mKeepAliveClient, path, type)
                .thenCompose(
                        response ->
                                response.isLeft() && mayBeStaleConnection(response.getLeft())
                                        ? get(mClient, path, type)
                                        : CompletableFuture.completedFuture(response))
                .thenApply(response -> response.flatMap(result));
    }

    // A keep-alive connection may have gone silent or just been closed by the engine, and a healthy
    // engine would appear failed. Only a failure over a new connection is a failure of the engine
    // itself.
    private static boolean mayBeStaleConnection(EngineFailure failure) {
        return failure instanceof EngineFailure.TimedOut
                || failure instanceof EngineFailure.Unreachable unreachable
                        && unreachable.connected();
    }

    private <B> CompletableFuture<Either<EngineFailure, B>> get(
            WebClient client, String path, Class<B> type) {
        return send(client, HttpRequest.of(HttpMethod.GET, path), mTimeoutMillis, type);
    }

    private <B> CompletableFuture<Either<EngineFailure, B>> send(
            HttpRequest request, long timeoutMillis, Class<B> type) {
        return send(mClient, request, timeoutMillis, type);
    }

    private <B> CompletableFuture<Either<EngineFailure, B>> send(
            WebClient client, HttpRequest request, long timeoutMillis, Class<B> type) {
        RequestOptions options =
                RequestOptions.builder().responseTimeoutMillis(timeoutMillis).build();
        try (ClientRequestContextCaptor captor = Clients.newContextCaptor()) {
            CompletableFuture<AggregatedHttpResponse> aggregated =
                    client.execute(request, options).aggregate();
            ClientRequestContext context = captor.get();
            return aggregated.handle(
                    (response, failure) ->
                            failure == null
                                    ? result(response, type)
                                    : Either.left(failed(context, failure)));
        }
    }

    private <B> Either<EngineFailure, B> result(AggregatedHttpResponse response, Class<B> type) {
        return response.status().equals(HttpStatus.OK)
                ? mJson.read(response.contentUtf8(), type)
                : Either.left(mJson.failure(response));
    }

    private StreamHandle stream(HttpRequest request, EngineStreamListener listener) {
        try (ClientRequestContextCaptor captor = Clients.newContextCaptor()) {
            HttpResponse response =
                    mClient.execute(request, RequestOptions.builder().maxResponseLength(0).build());
            DecodeStream stream = new DecodeStream(mJson, listener, captor.get(), response);
            stream.start();
            return stream;
        }
    }

    static EngineFailure failed(ClientRequestContext context, Throwable failure) {
        return switch (CallFailure.of(context, failure)) {
            case NOT_CONNECTED -> new EngineFailure.Unreachable(false);
            case TIMED_OUT -> new EngineFailure.TimedOut();
            case BROKEN -> new EngineFailure.Unreachable(true);
        };
    }
}
