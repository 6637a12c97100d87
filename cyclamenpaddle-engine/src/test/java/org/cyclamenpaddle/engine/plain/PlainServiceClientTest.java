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
    private static final String OK_ANSWER =
            "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nbooked";

    private final BackendConnections mConnections = new BackendConnections();
    private final PlainServiceClient mClient = new PlainServiceClient(mConnections);

    @AfterClass
    public void close() {
        mConnections.close();
    }

    @Test
    public void forwardsCallAndAnswer() throws Exception {
        Queue<String> heads = new ConcurrentLinkedQueue<>();
        try (RawServer server =
                new RawServer(
                        (socket, number) -> {
                            heads.add(RawServer.readHeaders(socket));
                            RawServer.write(socket, OK_ANSWER);
                        })) {
            PlainResult.Response answer =
                    (PlainResult.Response) call(server.spec(), LONG_TIMEOUT_MILLIS);
            assertEquals(answer.status(), 200);
            assertEquals(answer.contentType(), "text/plain");
            assertEquals(new String(answer.body(), StandardCharsets.UTF_8), "booked");
            String head = heads.remove().toLowerCase(java.util.Locale.ROOT);
            assertTrue(head.startsWith("post /bookings?lot=7 http/1.1\r\n"), head);
            assertTrue(head.contains("idempotency-key: key-1\r\n"), head);
            assertTrue(head.contains("x-attempt: ahm-1:1:1\r\n"), head);
        }
    }

    @Test
    public void eachCallHasConnectionOfItsOwn() throws Exception {
        // A booking is refused as not run though it ran: a kept connection is closed by the server
        // while the call is written to it, and the client can't tell whether the call came through.
        // So even a server that keeps its connections open must see a new one for each call.
        // It is closed from here after the answer, or it would stay open for good.
        CountDownLatch closed = new CountDownLatch(CALLS);
        try (RawServer server =
                new RawServer(
                        (socket, number) -> {
                            while (!RawServer.readHeaders(socket).isEmpty()) {
                                RawServer.write(socket, OK_ANSWER);
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
    public void callThatHttpHasNoFormForIsNotSent() throws Exception {
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
    public void serverThatClosesAfterOneByteMayHaveRunTheCall() throws Exception {
        // The caller books a lot, the service reads and dies before it answers. Whether it booked
        // is not known, so the caller must never be told that it did not run.
        assertMaybeSent((socket, number) -> socket.getInputStream().read(), LONG_TIMEOUT_MILLIS);
    }

    @Test
    public void serverThatClosesAtOnceMayHaveRunTheCall() throws Exception {
        // As above, but the connection is gone before the service read anything; the bytes may
        // have been on their way, and the client has no proof that they were not.
        assertMaybeSent((socket, number) -> {}, LONG_TIMEOUT_MILLIS);
    }

    @Test
    public void serverThatNeverReadsMayRunTheCall() throws Exception {
        try (RawServer server = hanging()) {
            PlainResult result = call(server.spec(), SHORT_TIMEOUT_MILLIS);
            assertTrue(result instanceof PlainResult.MaybeSent, result.toString());
        }
    }

    @Test
    public void answerCutInItsBodyMayHaveRunTheCall() throws Exception {
        assertMaybeSent(
                (socket, number) -> {
                    RawServer.readHeaders(socket);
                    RawServer.write(socket, OK_ANSWER.substring(0, OK_ANSWER.length() - 2));
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
