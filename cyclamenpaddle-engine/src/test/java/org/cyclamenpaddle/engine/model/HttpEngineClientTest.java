package org.cyclamenpaddle.engine.model;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.net.ServerSocket;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.function.Function;
import org.cyclamenpaddle.core.config.BackendRole;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.engine.http.BackendConnections;
import org.cyclamenpaddle.engine.http.RawServer;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

public class HttpEngineClientTest {

    private static final long TIMEOUT_MILLIS = 20_000;
    private static final long SHORT_TIMEOUT_MILLIS = 300;
    private static final long READ_TIMEOUT_MILLIS = 3_000;
    private static final AttemptId ATTEMPT = new AttemptId("ahm-1:1:1");
    private static final PrefillCall PREFILL =
            new PrefillCall(ATTEMPT, "lot 7", List.of("a"), 2, TIMEOUT_MILLIS);
    private static final EngineOrder ORDER =
            new EngineOrder(
                    4, new ServiceName("malt-reader"), "malt-7b", BackendRole.PREFILL, 5_000);
    private static final String STATE =
            "{\"service\":\"malt-reader\",\"model\":\"malt-7b\",\"role\":\"prefill\","
                    + "\"fence\":4,\"busy\":true}";

    private static final String REPORTED_ATTEMPT =
            "{\"attempt\":\"ahm-1:1:1\",\"role\":\"decode\",\"pieces\":2,"
                    + "\"nextIndex\":7,\"ended\":false}";

    private final BackendConnections mConnections = new BackendConnections();

    @AfterClass
    public void close() {
        mConnections.close();
    }

    @Test
    public void prefillSendsItsCallAndReadsItsResult() throws Exception {
        assertResult(
                client -> client.prefill(PREFILL),
                "POST /v1/prefill {\"attempt\":\"ahm-1:1:1\",\"prompt\":\"lot 7\","
                        + "\"prior\":[\"a\"],\"priority\":2,\"timeoutMillis\":20000}",
                "{\"attempt\":\"ahm-1:1:1\",\"tokens\":9,\"cachedTokens\":4,\"pieces\":1,"
                        + "\"resultMillis\":800}",
                new PrefillResult(ATTEMPT, 9, 4, 1, 800));
    }

    @Test
    public void readsWhatTheEngineReports() throws Exception {
        assertResult(
                EngineClient::attempts,
                "GET /v1/attempts ",
                "{\"attempts\":["
                        + REPORTED_ATTEMPT
                        + ","
                        + REPORTED_ATTEMPT.replace("ahm-1:1:1", "some one")
                        + "]}",
                List.of(new EngineAttempt(ATTEMPT, "decode", 2, 7, false)));
        assertResult(
                EngineClient::load,
                "GET /v1/load ",
                "{\"slots\":20,\"slotsUsed\":3,\"pieces\":64,\"piecesUsed\":9,\"queuedTokens\":5}",
                new EngineLoad(20, 3, 64, 9, 5));
        assertResult(
                client -> client.cacheEvents(7),
                "GET /v1/cache-events?after=7 ",
                "{\"lastSequence\":9,\"events\":[{\"sequence\":9,\"kind\":\"evicted\","
                        + "\"hash\":\"fffffffffffffffe\"}]}",
                new CacheEvents(9, List.of(new CacheEvents.CacheEvent(9, false, -2))));
        assertResult(
                EngineClient::state,
                "GET /v1/state ",
                "{\"service\":\"\",\"model\":\"\",\"role\":\"\",\"fence\":0,\"busy\":false}",
                new EngineState(Optional.empty(), Optional.empty(), Optional.empty(), 0, false));
    }

    @Test
    public void orderIsAcceptedOrRejectedAsStale() throws Exception {
        assertResult(
                client -> client.order(ORDER),
                "POST /v1/orders {\"fence\":4,\"service\":\"malt-reader\",\"model\":\"malt-7b\","
                        + "\"role\":\"prefill\",\"timeoutMillis\":5000}",
                STATE,
                new EngineState(
                        Optional.of(ORDER.service()),
                        Optional.of("malt-7b"),
                        Optional.of(BackendRole.PREFILL),
                        4,
                        true));
        assertEquals(
                failure(409, "{\"reason\":\"stale-fence\",\"fence\":6}"),
                new EngineFailure.StaleFence(6));
    }

    @Test
    public void failuresAreTyped() throws Exception {
        assertEquals(failure(503, "{\"reason\":\"full\"}"), new EngineFailure.Full());
        assertEquals(failure(409, "{\"reason\":\"exists\"}"), new EngineFailure.Exists());
        assertEquals(failure(409, "{\"reason\":\"cancelled\"}"), new EngineFailure.Cancelled());
        assertTrue(failure(500, "") instanceof EngineFailure.Protocol);
        assertTrue(failure(200, "{") instanceof EngineFailure.Protocol);
        assertTrue(failure(200, "{\"role\":\"cook\"}") instanceof EngineFailure.Protocol);
        assertTrue(failure(200, STATE.replace("4", "\"4\"")) instanceof EngineFailure.Protocol);
        try (RawServer server = new RawServer((socket, number) -> {})) {
            assertEquals(
                    client(server, TIMEOUT_MILLIS).state().join().getLeft(),
                    new EngineFailure.Unreachable(true));
        }
        int port;
        try (ServerSocket socket = new ServerSocket(0)) {
            port = socket.getLocalPort();
        }
        assertEquals(
                new HttpEngineClient(mConnections, RawServer.spec(port), TIMEOUT_MILLIS)
                        .state()
                        .join()
                        .getLeft(),
                new EngineFailure.Unreachable(false));
    }

    @Test
    public void cancelIsConfirmedOnlyByAnEngineThatHoldsNothing() throws Exception {
        assertTrue(cancelled(200, "{\"heldPieces\":0}"));
        assertFalse(cancelled(200, "{\"heldPieces\":1}"));
        assertFalse(cancelled(200, "{}"));
        assertFalse(cancelled(500, "{\"heldPieces\":0}"));
    }

    @Test
    public void cancelAfterTimeoutUsesNewConnection() throws Exception {
        // A request whose caller has disconnected would keep its engine memory. The first cancel
        // times out unconfirmed on a silent connection; the next one must use another connection.
        CompletableFuture<Void> testEnd = new CompletableFuture<>();
        try (RawServer server =
                new RawServer(
                        (socket, number) -> {
                            if (number == 1) {
                                testEnd.join();
                            }
                            RawServer.readRequest(socket);
                            RawServer.respond(socket, 200, "{\"heldPieces\":0}");
                        })) {
            assertFalse(client(server, SHORT_TIMEOUT_MILLIS).cancel(ATTEMPT).join());
            assertTrue(client(server, TIMEOUT_MILLIS).cancel(ATTEMPT).join());
            testEnd.complete(null);
        }
    }

    @Test
    public void readOverSilentKeepAliveConnectionIsRetriedOverNewOne() throws Exception {
        // A keep-alive connection responds once and then goes silent, and a healthy engine would be
        // considered failed. The next read times out on it and must be retried on a new connection,
        // and the silent connection must be closed.
        CountDownLatch closed = new CountDownLatch(1);
        try (RawServer server =
                new RawServer(
                        (socket, number) -> {
                            RawServer.readRequest(socket);
                            RawServer.respond(socket, 200, STATE);
                            if (number == 1) {
                                RawServer.readRequest(socket);
                                if (socket.getInputStream().read() < 0) {
                                    closed.countDown();
                                }
                            }
                        })) {
            EngineClient client = client(server, READ_TIMEOUT_MILLIS);
            assertTrue(client.state().join().isRight());
            assertTrue(client.state().join().isRight());
            assertEquals(server.connections(), 2);
            closed.await();
        }
    }

    private <T> void assertResult(
            Function<EngineClient, CompletableFuture<Either<EngineFailure, T>>> call,
            String request,
            String body,
            T result)
            throws Exception {
        CompletableFuture<String> received = new CompletableFuture<>();
        try (RawServer server =
                new RawServer(
                        (socket, number) -> {
                            received.complete(RawServer.readRequest(socket));
                            RawServer.respond(socket, 200, body);
                        })) {
            assertEquals(call.apply(client(server, TIMEOUT_MILLIS)).join(), Either.right(result));
            assertEquals(received.join(), request);
        }
    }

    private EngineFailure failure(int status, String body) throws Exception {
        try (RawServer server = responding(status, body)) {
            return client(server, TIMEOUT_MILLIS).order(ORDER).join().getLeft();
        }
    }

    private boolean cancelled(int status, String body) throws Exception {
        try (RawServer server = responding(status, body)) {
            return client(server, TIMEOUT_MILLIS).cancel(ATTEMPT).join();
        }
    }

    private static RawServer responding(int status, String body) throws Exception {
        return new RawServer(
                (socket, number) -> {
                    RawServer.readRequest(socket);
                    RawServer.respond(socket, status, body);
                });
    }

    private HttpEngineClient client(RawServer server, long timeoutMillis) {
        return new HttpEngineClient(mConnections, server.spec(), timeoutMillis);
    }
}
