package org.cyclamenpaddle.store.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.ClientRequestContext;
import com.linecorp.armeria.client.ClientRequestContextCaptor;
import com.linecorp.armeria.client.Clients;
import com.linecorp.armeria.client.Endpoint;
import com.linecorp.armeria.client.ResponseTimeoutException;
import com.linecorp.armeria.client.UnprocessedRequestException;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.SessionProtocol;
import io.vavr.control.Either;
import io.vavr.control.Try;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Function;
import org.cyclamenpaddle.http.CleartextClients;

/**
 * HTTP client of the platform that opens a new connection for each call.
 *
 * <p>An open connection can go silent without being closed, and each call sent over it would then
 * be lost until its timeout. A connection used for a single call can't affect a later one. A host
 * makes only a few platform calls per second, so opening connections costs little.
 */
public final class PlatformConnection implements AutoCloseable {

    private static final long CONNECT_TIMEOUT_MILLIS = 300;
    private static final long MAX_RESPONSE_BYTES = 64L << 20;

    private final ClientFactory mFactory;
    private final WebClient mClient;
    private final long mTimeoutMillis;
    private final JsonMapper mMapper =
            JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

    /**
     * Creates the client; nothing is sent yet.
     *
     * @param address IP address of the platform
     * @param port its TCP port
     * @param timeoutMillis response timeout of a call, in milliseconds
     */
    public PlatformConnection(String address, int port, long timeoutMillis) {
        mTimeoutMillis = timeoutMillis;
        mFactory =
                CleartextClients.factory()
                        .connectTimeoutMillis(CONNECT_TIMEOUT_MILLIS)
                        .maxNumRequestsPerConnection(1)
                        .build();
        mClient =
                WebClient.builder(SessionProtocol.H1C, Endpoint.of(address, port))
                        .factory(mFactory)
                        .maxResponseLength(MAX_RESPONSE_BYTES)
                        .build();
    }

    /**
     * Sends a call and reads its complete response.
     *
     * @param request the request
     * @param extraMillis time added to the response timeout, in milliseconds, for calls that the
     *     platform holds open
     * @param read converts the response, whatever its status; one for which it throws counts as
     *     {@link #rejected}
     */
    public <T> CompletableFuture<Either<PlatformError, T>> call(
            HttpRequest request,
            long extraMillis,
            Function<AggregatedHttpResponse, Either<PlatformError, T>> read) {
        long timeoutMillis = mTimeoutMillis + extraMillis;
        try (ClientRequestContextCaptor captor = Clients.newContextCaptor()) {
            CompletableFuture<AggregatedHttpResponse> aggregated =
                    mClient.execute(
                                    request,
                                    com.linecorp.armeria.client.RequestOptions.builder()
                                            .responseTimeoutMillis(timeoutMillis)
                                            .build())
                            .aggregate();
            ClientRequestContext context = captor.get();
            return aggregated.handle(
                    (response, failure) ->
                            failure == null
                                    ? Try.of(() -> read.apply(response))
                                            .getOrElse(() -> Either.left(rejected(response)))
                                    : Either.left(error(context, failure, timeoutMillis)));
        }
    }

    /**
     * Decodes the body of a response as a value of {@code type}, or returns {@link #rejected} if it
     * is malformed.
     *
     * @param response the response
     * @param type a record whose components are the JSON members; unknown members are ignored
     */
    public <T> Either<PlatformError, T> body(AggregatedHttpResponse response, Class<T> type) {
        try {
            T value = mMapper.readValue(response.contentUtf8(), type);
            return value == null ? Either.left(rejected(response)) : Either.right(value);
        } catch (JsonProcessingException malformed) {
            return Either.left(rejected(response));
        }
    }

    /** Returns {@code value} as JSON text. */
    public String json(Object value) {
        try {
            return mMapper.writeValueAsString(value);
        } catch (JsonProcessingException impossible) {
            throw new IllegalArgumentException(
                    "expected a value that can be encoded as JSON, got " + value, impossible);
        }
    }

    /** Returns the error for a response that is not part of the protocol. */
    public PlatformError rejected(AggregatedHttpResponse response) {
        return new PlatformError.Rejected(response.status().code(), response.contentUtf8());
    }

    @Override
    public void close() {
        mFactory.close();
    }

    private static PlatformError error(
            ClientRequestContext context, Throwable failure, long timeoutMillis) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null
                        ? failure.getCause()
                        : failure;
        if (cause instanceof ResponseTimeoutException) {
            return new PlatformError.TimedOut(timeoutMillis);
        }
        boolean nothingSent =
                cause instanceof UnprocessedRequestException
                        && context.log().partial().channel() == null;
        return new PlatformError.Unreachable(String.valueOf(cause), !nothingSent);
    }
}
