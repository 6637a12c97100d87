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
    private final WebClient mKeptClient;
    private final long mTimeoutMillis;
    private final EngineJson mJson = new EngineJson();

    /**
     * Creates the client; nothing is sent yet.
     *
     * @param connections opens the connections
     * @param engine the engine
     * @param timeoutMillis longest wait for an answer, in milliseconds; a prefill, an order and a
     *     decode wait as long as their calls say, and a read that fails over a kept connection is
     *     made a second time over a new one
     */
    public HttpEngineClient(
            BackendConnections connections, BackendSpec engine, long timeoutMillis) {
        mClient = connections.client(engine);
        mKeptClient = connections.keepAliveClient(engine);
        mTimeoutMillis = timeoutMillis;
    }

    @Override
    public CompletableFuture<Either<EngineFailure, PrefillResult>> prefill(PrefillCall call) {
        HttpRequest request = post("/v1/prefill", EngineBodies.PrefillAsk.of(call));
        return ask(request, call.timeoutMillis(), EngineBodies.PrefillAnswer.class)
                .thenApply(answer -> answer.flatMap(EngineBodies.PrefillAnswer::result));
    }

    @Override
    public StreamHandle decode(DecodeCall call, EngineStreamListener listener) {
        return stream(post("/v1/decode", EngineBodies.DecodeAsk.of(call)), listener);
    }

    @Override
    public StreamHandle resume(AttemptId attempt, int fromIndex, EngineStreamListener listener) {
        String path = ATTEMPTS + "/" + attempt + "/stream?from=" + fromIndex;
        return stream(HttpRequest.of(HttpMethod.GET, path), listener);
    }

    @Override
    public CompletableFuture<Boolean> cancel(AttemptId attempt) {
        HttpRequest request = HttpRequest.of(HttpMethod.DELETE, ATTEMPTS + "/" + attempt);
        return ask(request, mTimeoutMillis, EngineBodies.CancelAnswer.class)
                .thenApply(answer -> answer.exists(EngineBodies.CancelAnswer::confirms));
    }

    @Override
    public CompletableFuture<Either<EngineFailure, List<EngineAttempt>>> attempts() {
        return read(
                ATTEMPTS, EngineBodies.AttemptsAnswer.class, EngineBodies.AttemptsAnswer::result);
    }

    @Override
    public CompletableFuture<Either<EngineFailure, EngineLoad>> load() {
        return read("/v1/load", EngineLoad.class, Either::right);
    }

    @Override
    public CompletableFuture<Either<EngineFailure, CacheEvents>> cacheEvents(long after) {
        return read(
                "/v1/cache-events?after=" + after,
                EngineBodies.CacheEventsAnswer.class,
                EngineBodies.CacheEventsAnswer::result);
    }

    @Override
    public CompletableFuture<Either<EngineFailure, EngineState>> order(EngineOrder order) {
        HttpRequest request = post("/v1/orders", EngineBodies.OrderAsk.of(order));
        return ask(request, order.timeoutMillis(), EngineBodies.StateAnswer.class)
                .thenApply(answer -> answer.flatMap(EngineBodies.StateAnswer::result));
    }

    @Override
    public CompletableFuture<Either<EngineFailure, EngineState>> state() {
        return read("/v1/state", EngineBodies.StateAnswer.class, EngineBodies.StateAnswer::result);
    }

    private HttpRequest post(String path, Object body) {
        return HttpRequest.of(HttpMethod.POST, path, MediaType.JSON_UTF_8, mJson.write(body));
    }

    private <B, T> CompletableFuture<Either<EngineFailure, T>> read(
            String path, Class<B> type, Function<B, Either<EngineFailure, T>> result) {
        return readOver(mKeptClient, path, type)
                .thenCompose(
                        answer ->
                                answer.isLeft() && keptConnectionSuspect(answer.getLeft())
                                        ? readOver(mClient, path, type)
                                        : CompletableFuture.completedFuture(answer))
                .thenApply(answer -> answer.flatMap(result));
    }

    // Failure: a kept connection went silent, or was closed by the engine just now, and a sound
    // engine would look dead. Only a failure over a new connection speaks of the engine itself.
    private static boolean keptConnectionSuspect(EngineFailure failure) {
        return failure instanceof EngineFailure.TimedOut
                || failure instanceof EngineFailure.Unreachable unreachable
                        && unreachable.connected();
    }

    private <B> CompletableFuture<Either<EngineFailure, B>> readOver(
            WebClient client, String path, Class<B> type) {
        return ask(client, HttpRequest.of(HttpMethod.GET, path), mTimeoutMillis, type);
    }

    private <B> CompletableFuture<Either<EngineFailure, B>> ask(
            HttpRequest request, long timeoutMillis, Class<B> type) {
        return ask(mClient, request, timeoutMillis, type);
    }

    private <B> CompletableFuture<Either<EngineFailure, B>> ask(
            WebClient client, HttpRequest request, long timeoutMillis, Class<B> type) {
        RequestOptions options =
                RequestOptions.builder().responseTimeoutMillis(timeoutMillis).build();
        try (ClientRequestContextCaptor captor = Clients.newContextCaptor()) {
            CompletableFuture<AggregatedHttpResponse> answer =
                    client.execute(request, options).aggregate();
            ClientRequestContext context = captor.get();
            return answer.handle(
                    (response, failure) ->
                            failure == null
                                    ? answered(response, type)
                                    : Either.left(failed(context, failure)));
        }
    }

    private <B> Either<EngineFailure, B> answered(AggregatedHttpResponse response, Class<B> type) {
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
