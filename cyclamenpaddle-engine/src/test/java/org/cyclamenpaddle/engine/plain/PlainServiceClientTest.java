package org.cyclamenpaddle.engine.plain;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.engine.http.BackendConnections;
import org.cyclamenpaddle.engine.http.RawServer;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

public class PlainServiceClientTest {

    private static final int CALLS = 12;
    private static final long SHORT_TIMEOUT_MILLIS = 400;
    private static final long LONG_TIMEOUT_MILLIS = 20_000;
    private static final String OK_RESPONSE =
            "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nbooked";

    private final BackendConnections mConnections = new BackendConnections();
    private final PlainServiceClient mClient = new PlainServiceClient(mConnections);

    @AfterClass
    public void close() {
        mConnections.close();
    }

    @Test
    public void forwardsCallAndResponse() throws Exception {
        Queue<String> heads = new ConcurrentLinkedQueue<>();
        try (RawServer server =
                new RawServer(
                        (socket, number) -> {
                            heads.add(RawServer.readHeaders(socket));
                            RawServer.write(socket, OK_RESPONSE);
                        })) {
            PlainResult.Response response =
                    (PlainResult.Response) call(server.spec(), LONG_TIMEOUT_MILLIS);
            assertEquals(response.status(), 200);
            assertEquals(response.contentType(), "text/plain");
            assertEquals(new String(response.body(), StandardCharsets.UTF_8), "booked");
            String head = heads.remove().toLowerCase(java.util.Locale.ROOT);
            assertTrue(head.startsWith("post /bookings?lot=7 http/1.1\r\n"), head);
            assertTrue(head.contains("idempotency-key: key-1\r\n"), head);
            assertTrue(head.contains("x-attempt: ahm-1:1:1\r\n"), head);
        }
    }

    @Test
    public void eachCallOpensItsOwnConnection() throws Exception {
        // If a server closes a keep-alive connection while a call is written to it, the client
        // cannot know whether the call ran, and a booking could be reported as not run although it
        // ran. So each call must open a new connection, even to a server that keeps its connections
        // open. The client must close it after the response, or it would stay open indefinitely.
        CountDownLatch closed = new CountDownLatch(CALLS);
        try (RawServer server =
                new RawServer(
                        (socket, number) -> {
                            while (!RawServer.readHeaders(socket).isEmpty()) {
                                RawServer.write(socket, OK_RESPONSE);
                            }
                            closed.countDown();
                        })) {
            List<CompletableFuture<PlainResult>> results = new ArrayList<>();
            for (int i = 0; i < CALLS; i++) {
                results.add(mClient.call(server.spec(), request(LONG_TIMEOUT_MILLIS)));
                if (i % 2 == 0) {
                    results.get(i).join();
                }
            }
            for (CompletableFuture<PlainResult> result : results) {
                assertTrue(result.join() instanceof PlainResult.Response, result.toString());
            }
            assertEquals(server.connections(), CALLS);
            closed.await();
        }
    }

    @Test
    public void refusedConnectionSendsNothing() throws Exception {
        int port;
        try (ServerSocket socket = new ServerSocket(0)) {
            port = socket.getLocalPort();
        }
        PlainResult result = call(RawServer.spec(port), LONG_TIMEOUT_MILLIS);
        assertTrue(result instanceof PlainResult.NothingSent, result.toString());
    }

    @Test
    public void callThatIsNoValidHttpRequestIsNotSent() throws Exception {
        PlainRequest good = request(LONG_TIMEOUT_MILLIS);
        PlainRequest unknownMethod =
                new PlainRequest(
                        good.attempt(),
                        "BOOK",
                        good.pathAndQuery(),
                        good.contentType(),
                        good.body(),
                        good.idempotencyKey(),
                        good.timeoutMillis());
        try (RawServer server = hanging()) {
            PlainResult result = mClient.call(server.spec(), unknownMethod).join();
            assertTrue(result instanceof PlainResult.NothingSent, result.toString());
            assertEquals(server.connections(), 0);
        }
    }

    @Test
    public void callMayHaveRunIfServerClosesAfterOneByte() throws Exception {
        // The service reads the call and crashes before it responds. Whether it ran is unknown, so
        // it must not be reported as not run.
        assertMaybeSent((socket, number) -> socket.getInputStream().read(), LONG_TIMEOUT_MILLIS);
    }

    @Test
    public void callMayHaveRunIfServerClosesAtOnce() throws Exception {
        // As above, but the connection is closed before the service reads anything. The bytes may
        // have been in flight, and the client can't prove that they were not.
        assertMaybeSent((socket, number) -> {}, LONG_TIMEOUT_MILLIS);
    }

    @Test
    public void callMayRunIfServerNeverReads() throws Exception {
        try (RawServer server = hanging()) {
            PlainResult result = call(server.spec(), SHORT_TIMEOUT_MILLIS);
            assertTrue(result instanceof PlainResult.MaybeSent, result.toString());
        }
    }

    @Test
    public void callWithTruncatedResponseMayHaveRun() throws Exception {
        assertMaybeSent(
                (socket, number) -> {
                    RawServer.readHeaders(socket);
                    RawServer.write(socket, OK_RESPONSE.substring(0, OK_RESPONSE.length() - 2));
                },
                LONG_TIMEOUT_MILLIS);
    }

    private void assertMaybeSent(RawServer.Script script, long timeoutMillis) throws Exception {
        try (RawServer server = new RawServer(script)) {
            PlainResult result = call(server.spec(), timeoutMillis);
            assertTrue(result instanceof PlainResult.MaybeSent, result.toString());
            assertEquals(server.connections(), 1, "the call was sent again");
        }
    }

    private static RawServer hanging() throws IOException {
        RawServer[] server = new RawServer[1];
        server[0] = new RawServer((socket, number) -> server[0].holdUntilClosed());
        return server[0];
    }

    private PlainResult call(BackendSpec backend, long timeoutMillis) throws Exception {
        return mClient.call(backend, request(timeoutMillis)).get(30, TimeUnit.SECONDS);
    }

    private static PlainRequest request(long timeoutMillis) {
        return new PlainRequest(
                new AttemptId("ahm-1:1:1"),
                "POST",
                "/bookings?lot=7",
                Optional.of("application/json"),
                "{}".getBytes(StandardCharsets.UTF_8),
                Optional.of("key-1"),
                timeoutMillis);
    }
}
