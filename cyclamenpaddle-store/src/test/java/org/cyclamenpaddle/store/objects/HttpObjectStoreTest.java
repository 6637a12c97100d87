package org.cyclamenpaddle.store.objects;

import static org.cyclamenpaddle.store.objects.FakePlatform.json;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import io.vavr.control.Either;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.cyclamenpaddle.store.http.PlatformError;
import org.testng.annotations.Test;

public class HttpObjectStoreTest {

    private static final long TIMEOUT_MILLIS = 20_000;
    private static final long SHORT_TIMEOUT_MILLIS = 300;
    private static final String KEY = "config/preset/peak:2";

    @Test
    public void listsUnderPrefix() throws Exception {
        String body =
                "{\"revision\":9,\"objects\":[{\"key\":\"config/preset/peak:2\",\"version\":7,"
                        + "\"value\":\"x\"}],\"later\":1}";
        try (FakePlatform platform = new FakePlatform(request -> json(HttpStatus.OK, body));
                HttpObjectStore store = store(platform)) {
            assertEquals(
                    await(store.list("config/")),
                    Either.right(new Listing(9, List.of(new StoredObject(KEY, 7, "x")))));
            assertEquals(platform.nextRequest().path(), "/objects?prefix=config%2F");
        }
    }

    @Test
    public void getsObjectOrNone() throws Exception {
        Function<AggregatedHttpRequest, HttpResponse> script =
                request ->
                        request.path().equals("/objects/" + KEY)
                                ? json(
                                        HttpStatus.OK,
                                        "{\"key\":\"" + KEY + "\",\"version\":7,\"value\":\"x\"}")
                                : json(HttpStatus.NOT_FOUND, "{}");
        try (FakePlatform platform = new FakePlatform(script);
                HttpObjectStore store = store(platform)) {
            assertEquals(
                    await(store.get(KEY)),
                    Either.right(Optional.of(new StoredObject(KEY, 7, "x"))));
            assertEquals(await(store.get("config/preset/none")), Either.right(Optional.empty()));
        }
    }

    @Test
    public void writesUnderPreconditions() throws Exception {
        try (FakePlatform platform =
                        new FakePlatform(request -> json(HttpStatus.OK, "{\"version\":8}"));
                HttpObjectStore store = store(platform)) {
            Either<PlatformError, WriteResult> written = Either.right(new WriteResult.Written(8));
            assertEquals(await(store.put(KEY, "v\"1", WritePrecondition.absent())), written);
            AggregatedHttpRequest create = platform.nextRequest();
            assertEquals(create.headers().get(HttpHeaderNames.IF_NONE_MATCH), "*");
            assertEquals(create.path(), "/objects/" + KEY);
            assertEquals(create.contentUtf8(), "{\"value\":\"v\\\"1\"}");
            assertEquals(await(store.put(KEY, "v2", WritePrecondition.atVersion(7))), written);
            assertEquals(platform.nextRequest().headers().get(HttpHeaderNames.IF_MATCH), "7");
            assertEquals(await(store.delete(KEY, 8)), written);
            AggregatedHttpRequest delete = platform.nextRequest();
            assertEquals(delete.method().name(), "DELETE");
            assertEquals(delete.headers().get(HttpHeaderNames.IF_MATCH), "8");
        }
    }

    @Test
    public void conflictReturnsTheCurrentObjectOrNone() throws Exception {
        Function<AggregatedHttpRequest, HttpResponse> script =
                request ->
                        json(
                                HttpStatus.CONFLICT,
                                request.method().name().equals("PUT")
                                        ? "{\"reason\":\"conflict\",\"version\":9,\"value\":\"w\"}"
                                        : "{\"reason\":\"conflict\"}");
        try (FakePlatform platform = new FakePlatform(script);
                HttpObjectStore store = store(platform)) {
            assertEquals(
                    await(store.put(KEY, "v", WritePrecondition.absent())),
                    Either.right(
                            new WriteResult.Conflict(Optional.of(new StoredObject(KEY, 9, "w")))));
            assertEquals(
                    await(store.delete(KEY, 7)),
                    Either.right(new WriteResult.Conflict(Optional.empty())));
        }
    }

    @Test
    public void watchReturnsEventsOrCompacted() throws Exception {
        String body =
                "{\"revision\":12,\"events\":["
                        + "{\"key\":\"a\",\"version\":11,\"deleted\":false,\"value\":\"x\"},"
                        + "{\"key\":\"a\",\"version\":12,\"deleted\":true}]}";
        Function<AggregatedHttpRequest, HttpResponse> script =
                request ->
                        request.path().contains("after=10")
                                ? json(HttpStatus.OK, body)
                                : json(HttpStatus.GONE, "{\"reason\":\"compacted\"}");
        try (FakePlatform platform = new FakePlatform(script);
                HttpObjectStore store = store(platform)) {
            assertEquals(
                    await(store.watch("config/", 10, 50)),
                    Either.right(
                            new WatchResult.Events(
                                    12,
                                    List.of(
                                            new WatchResult.Event("a", 11, Optional.of("x")),
                                            new WatchResult.Event("a", 12, Optional.empty())))));
            assertEquals(
                    await(store.watch("config/", 1, 50)),
                    Either.right(new WatchResult.Compacted()));
        }
    }

    @Test
    public void errorsReportWhetherTheWriteMayHaveTakenEffect() throws Exception {
        assertFalse(writeError(json(HttpStatus.BAD_REQUEST, "{}")).mayHaveTakenEffect());
        assertTrue(writeError(json(HttpStatus.SERVICE_UNAVAILABLE, "")).mayHaveTakenEffect());
        assertTrue(writeError(json(HttpStatus.OK, "{\"version\":")).mayHaveTakenEffect());
        assertTrue(writeError(json(HttpStatus.OK, "{}")).mayHaveTakenEffect());
        assertEquals(
                writeError(HttpResponse.of(new CompletableFuture<>())),
                new PlatformError.TimedOut(SHORT_TIMEOUT_MILLIS));
    }

    @Test
    public void writeToUnreachablePlatformHasNoEffect() throws Exception {
        int port;
        try (ServerSocket socket = new ServerSocket(0)) {
            port = socket.getLocalPort();
        }
        try (HttpObjectStore store = new HttpObjectStore("127.0.0.1", port, TIMEOUT_MILLIS)) {
            PlatformError error = await(store.put(KEY, "v", WritePrecondition.absent())).getLeft();
            assertTrue(error instanceof PlatformError.Unreachable, error.toString());
            assertFalse(error.mayHaveTakenEffect());
        }
    }

    @Test
    public void writeMayHaveTakenEffectIfConnectionCloses() throws Exception {
        // The platform reads a write, and the connection is lost before the response. Reporting
        // that it had no effect would deny a claim that exists.
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                HttpObjectStore store =
                        new HttpObjectStore("127.0.0.1", socket.getLocalPort(), TIMEOUT_MILLIS)) {
            CompletableFuture<Either<PlatformError, WriteResult>> result =
                    store.put(KEY, "v", WritePrecondition.absent());
            try (Socket connection = socket.accept()) {
                connection.getInputStream().read();
            }
            PlatformError error = await(result).getLeft();
            assertTrue(error instanceof PlatformError.Unreachable, error.toString());
            assertTrue(error.mayHaveTakenEffect());
        }
    }

    private static PlatformError writeError(HttpResponse response) throws Exception {
        try (FakePlatform platform = new FakePlatform(request -> response);
                HttpObjectStore store =
                        new HttpObjectStore("127.0.0.1", platform.port(), SHORT_TIMEOUT_MILLIS)) {
            return await(store.put(KEY, "v", WritePrecondition.absent())).getLeft();
        }
    }

    private static HttpObjectStore store(FakePlatform platform) {
        return new HttpObjectStore("127.0.0.1", platform.port(), TIMEOUT_MILLIS);
    }

    private static <T> T await(CompletableFuture<T> future) throws Exception {
        return future.get(30, TimeUnit.SECONDS);
    }
}
