package org.cyclamenpaddle.store.objects;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.QueryParams;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Pattern;
import org.cyclamenpaddle.store.http.PlatformConnection;
import org.cyclamenpaddle.store.http.PlatformError;
import org.cyclamenpaddle.store.objects.ObjectBodies.ConflictBody;
import org.cyclamenpaddle.store.objects.ObjectBodies.EventsBody;
import org.cyclamenpaddle.store.objects.ObjectBodies.PutBody;
import org.cyclamenpaddle.store.objects.ObjectBodies.WrittenBody;

/** {@link ObjectStore} over HTTP/1.1. */
public final class HttpObjectStore implements ObjectStore, AutoCloseable {

    private static final Pattern KEY = Pattern.compile("[A-Za-z0-9._:/-]+");
    private static final String OBJECTS = "/objects";

    private final PlatformConnection mConnection;

    /**
     * Creates the client; nothing is sent yet.
     *
     * @param address IP address of the platform
     * @param port its TCP port
     * @param timeoutMillis response timeout of a call, in milliseconds; a watch adds it to the wait
     *     that it requests of the platform
     */
    public HttpObjectStore(String address, int port, long timeoutMillis) {
        mConnection = new PlatformConnection(address, port, timeoutMillis);
    }

    @Override
    public CompletableFuture<Either<PlatformError, Listing>> list(String prefix) {
        HttpRequest request =
                read(OBJECTS + "?" + QueryParams.of("prefix", prefix).toQueryString());
        return mConnection.call(request, 0, response -> ok(response, Listing.class));
    }

    @Override
    public CompletableFuture<Either<PlatformError, Optional<StoredObject>>> get(String key) {
        HttpRequest request = read(path(key));
        return mConnection.call(
                request,
                0,
                response ->
                        response.status().equals(HttpStatus.NOT_FOUND)
                                ? Either.right(Optional.empty())
                                : ok(response, StoredObject.class).map(Optional::of));
    }

    @Override
    public CompletableFuture<Either<PlatformError, WriteResult>> put(
            String key, String value, WritePrecondition precondition) {
        RequestHeadersBuilder headers =
                RequestHeaders.builder(HttpMethod.PUT, path(key)).contentType(MediaType.JSON_UTF_8);
        if (precondition instanceof WritePrecondition.AtVersion at) {
            headers.add(HttpHeaderNames.IF_MATCH, Long.toString(at.version()));
        } else {
            headers.add(HttpHeaderNames.IF_NONE_MATCH, "*");
        }
        HttpData body = HttpData.ofUtf8(mConnection.json(new PutBody(value)));
        return mConnection.call(
                HttpRequest.of(headers.build(), body), 0, response -> written(key, response));
    }

    @Override
    public CompletableFuture<Either<PlatformError, WriteResult>> delete(String key, long version) {
        RequestHeaders headers =
                RequestHeaders.builder(HttpMethod.DELETE, path(key))
                        .add(HttpHeaderNames.IF_MATCH, Long.toString(version))
                        .build();
        return mConnection.call(HttpRequest.of(headers), 0, response -> written(key, response));
    }

    @Override
    public CompletableFuture<Either<PlatformError, WatchResult>> watch(
            String prefix, long afterRevision, long waitMillis) {
        QueryParams params =
                QueryParams.of("prefix", prefix, "after", afterRevision, "waitMillis", waitMillis);
        HttpRequest request = read("/watch?" + params.toQueryString());
        return mConnection.call(
                request,
                waitMillis,
                response ->
                        response.status().equals(HttpStatus.GONE)
                                ? Either.right(new WatchResult.Compacted())
                                : ok(response, EventsBody.class)
                                        .flatMap(body -> events(response, body)));
    }

    @Override
    public void close() {
        mConnection.close();
    }

    private <T> Either<PlatformError, T> ok(AggregatedHttpResponse response, Class<T> type) {
        return response.status().equals(HttpStatus.OK)
                ? mConnection.body(response, type)
                : Either.left(mConnection.rejected(response));
    }

    private Either<PlatformError, WriteResult> written(
            String key, AggregatedHttpResponse response) {
        if (response.status().equals(HttpStatus.CONFLICT)) {
            return mConnection
                    .body(response, ConflictBody.class)
                    .map(body -> new WriteResult.Conflict(body.current(key)));
        }
        return ok(response, WrittenBody.class)
                .filterOrElse(body -> body.version() > 0, body -> mConnection.rejected(response))
                .map(body -> new WriteResult.Written(body.version()));
    }

    private Either<PlatformError, WatchResult> events(
            AggregatedHttpResponse response, EventsBody body) {
        boolean complete =
                body.events() != null
                        && body.events().stream()
                                .allMatch(
                                        e -> e.key() != null && (e.deleted() || e.value() != null));
        return complete ? Either.right(body.result()) : Either.left(mConnection.rejected(response));
    }

    private static HttpRequest read(String pathAndQuery) {
        return HttpRequest.of(HttpMethod.GET, pathAndQuery);
    }

    private static String path(String key) {
        if (!KEY.matcher(key).matches()) {
            throw new IllegalArgumentException(
                    "key '" + key + "' has a character other than letters, digits and . _ : / -");
        }
        return OBJECTS + "/" + key;
    }
}
