package org.cyclamenpaddle.engine.model;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.linecorp.armeria.client.ClientRequestContext;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.engine.http.BackendConnections;
import org.cyclamenpaddle.engine.http.RawServer;
import org.reactivestreams.Subscription;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

public class DecodeStreamTest {

    private static final long SEED = 20_261_206L;
    private static final int MUTANTS = 20_000;
    private static final long TIMEOUT_MILLIS = 20_000;
    private static final AttemptId ATTEMPT = new AttemptId("ahm-1:1:2");
    private static final DecodeCall CALL =
            new DecodeCall(
                    ATTEMPT,
                    new PrefillSource("127.0.0.1", 8000, new AttemptId("ahm-1:1:1")),
                    0,
                    16,
                    0,
                    500);
    private static final String TOKEN_0 = "{\"event\":\"token\",\"index\":0,\"text\":\"a\"}\n";
    private static final String TOKEN_1 = "{\"event\":\"token\",\"index\":1,\"text\":\"é\"}\n";
    private static final String END =
            "{\"event\":\"end\",\"tokens\":2,\"finishReason\":\"stop\"}\n";
    private static final String BROKEN = "broken Unreachable[connected=true]";

    private static final Subscription UNBOUNDED =
            new Subscription() {
                @Override
                public void request(long count) {}

                @Override
                public void cancel() {}
            };

    private final BackendConnections mConnections = new BackendConnections();

    @AfterClass
    public void close() {
        mConnections.close();
    }

    @Test
    public void eventsArriveTypedAndInOrderHoweverTheyAreSplit() throws Exception {
        String stream = "{\"event\":\"imported\",\"bytes\":4096}\n" + TOKEN_0 + TOKEN_1 + END;
        for (int split = 1; split < stream.length(); split += 7) {
            int at = split;
            StreamLog log = new StreamLog();
            try (RawServer server =
                    new RawServer(
                            (socket, number) -> {
                                RawServer.readHeaders(socket);
                                RawServer.writeStreamHeaders(socket);
                                RawServer.writeChunk(socket, stream.substring(0, at));
                                RawServer.writeChunk(socket, stream.substring(at));
                                RawServer.writeLastChunk(socket);
                            })) {
                client(server).decode(CALL, log);
                assertEquals(
                        log.next(4),
                        List.of("imported 4096", "token 0 a", "token 1 é", "end 2 stop"));
            }
        }
    }

    @Test
    public void streamTruncatedWithinLineIsBroken() throws Exception {
        // The engine crashes while it writes a line. The complete lines before it must be
        // delivered, the partial one must not, or the caller would see half a token; the stream is
        // then broken.
        assertEvents(
                socket -> {
                    RawServer.writeChunk(socket, TOKEN_0);
                    RawServer.writeChunk(socket, TOKEN_1.substring(0, TOKEN_1.length() - 3));
                },
                List.of("token 0 a", BROKEN));
    }

    @Test
    public void streamThatEndsWithoutEndEventIsBroken() throws Exception {
        // The engine or a proxy ends the HTTP body cleanly before the end event. Only that event
        // completes the response; otherwise the caller would take a truncated response for a
        // complete one.
        assertEvents(
                socket -> {
                    RawServer.writeChunk(socket, TOKEN_0);
                    RawServer.writeLastChunk(socket);
                },
                List.of("token 0 a", "broken Truncated[end=NO_END_EVENT]"));
    }

    /** A line that is cut in a body that ends cleanly is dropped without a trace of the cut. */
    @Test
    public void cleanEndWithinLineIsReported() throws Exception {
        assertEvents(
                socket -> {
                    RawServer.writeChunk(socket, TOKEN_0);
                    RawServer.writeChunk(socket, TOKEN_1.substring(0, TOKEN_1.length() - 3));
                    RawServer.writeLastChunk(socket);
                },
                List.of("token 0 a", "broken Truncated[end=INSIDE_EVENT]"));
    }

    @Test
    public void noEventIsDeliveredAfterTheEndEvent() {
        byte[] bytes = (END + TOKEN_0).getBytes(StandardCharsets.UTF_8);
        assertEquals(eventsOf(bytes, 0), List.of("end 2 stop"));
    }

    @Test
    public void oversizedLineIsRejected() throws Exception {
        // A faulty engine sends one endless line, which would exhaust the host's memory. The stream
        // must be aborted at the maximum line length.
        StreamLog log = new StreamLog();
        String part = "x".repeat(16 << 10);
        try (RawServer server =
                new RawServer(
                        (socket, number) -> {
                            RawServer.readHeaders(socket);
                            RawServer.writeStreamHeaders(socket);
                            for (int i = 0; i < 1_000; i++) {
                                RawServer.writeChunk(socket, part);
                            }
                        })) {
            client(server).decode(CALL, log);
            assertEquals(log.next(), "broken Protocol[message=line of over 65536 bytes]");
        }
    }

    @Test
    public void malformedEventsBreakTheStream() throws Exception {
        for (String line :
                List.of(
                        "{",
                        "[]",
                        "null",
                        "{\"event\":\"token\",\"index\":\"0\",\"text\":\"a\"}",
                        "{\"event\":\"token\",\"index\":-1,\"text\":\"a\"}",
                        "{\"event\":\"token\",\"index\":0}",
                        "{\"event\":\"end\",\"tokens\":1.5,\"finishReason\":\"stop\"}",
                        "{\"event\":\"other\"}")) {
            StreamLog log = decode(socket -> RawServer.writeChunk(socket, line + "\n" + TOKEN_0));
            String event = log.next();
            assertTrue(event.startsWith("broken Protocol"), line + " gave " + event);
        }
    }

    @Test
    public void refusalsAndFailedEventsAreTyped() throws Exception {
        assertEquals(refusal(503, "{\"reason\":\"full\"}"), "failed Full[]");
        assertEquals(refusal(409, "{\"reason\":\"cancelled\"}"), "failed Cancelled[]");
        assertEquals(refusal(409, "{\"reason\":\"exists\"}"), "failed Exists[]");
        assertEquals(refusal(404, "{}"), "failed UnknownAttempt[]");
        assertTrue(refusal(503, "busy").startsWith("broken Protocol"));
        assertTrue(refusal(500, "{\"reason\":\"full\"}").startsWith("broken Protocol"));
        assertEquals(failedEvent("evicted"), "failed Evicted[]");
        assertEquals(failedEvent("transfer-stalled"), "failed TransferStalled[]");
        assertEquals(failedEvent("cancelled"), "failed Cancelled[]");
    }

    @Test
    public void refusedConnectionIsReported() throws Exception {
        int port;
        try (ServerSocket socket = new ServerSocket(0)) {
            port = socket.getLocalPort();
        }
        StreamLog log = new StreamLog();
        new HttpEngineClient(mConnections, RawServer.spec(port), TIMEOUT_MILLIS).decode(CALL, log);
        assertEquals(log.next(), "broken Unreachable[connected=false]");
    }

    @Test
    public void resumeOpensNewConnectionWhileOldOneIsSilent() throws Exception {
        // A middlebox lost the state of the connection, which stays open and silent, and the caller
        // gets no more tokens. A resume must use a new connection, as it would be lost on the old
        // one.
        Queue<String> heads = new ConcurrentLinkedQueue<>();
        CountDownLatch silence = new CountDownLatch(1);
        StreamLog log = new StreamLog();
        StreamLog resumed = new StreamLog();
        try (RawServer server =
                new RawServer(
                        (socket, number) -> {
                            heads.add(RawServer.readHeaders(socket));
                            RawServer.writeStreamHeaders(socket);
                            if (number == 1) {
                                RawServer.writeChunk(socket, TOKEN_0);
                                awaitUninterruptibly(silence);
                            } else {
                                RawServer.writeChunk(socket, TOKEN_1 + END);
                            }
                        })) {
            EngineClient client = client(server);
            StreamHandle first = client.decode(CALL, log);
            assertEquals(log.next(), "token 0 a");
            client.resume(ATTEMPT, 1, resumed);
            assertEquals(resumed.next(2), List.of("token 1 é", "end 2 stop"));
            heads.remove();
            String resume = heads.remove();
            assertTrue(resume.startsWith("GET /v1/attempts/ahm-1:1:2/stream?from=1 "), resume);
            first.close();
            assertEquals(log.rest(), List.of());
            silence.countDown();
        }
    }

    @Test
    public void closedStreamDeliversNoEvents() throws Exception {
        CountDownLatch disconnected = new CountDownLatch(1);
        StreamLog log = new StreamLog();
        try (RawServer server =
                new RawServer(
                        (socket, number) -> {
                            RawServer.readHeaders(socket);
                            RawServer.writeStreamHeaders(socket);
                            RawServer.writeChunk(socket, TOKEN_0);
                            while (socket.getInputStream().read() >= 0) {
                                continue;
                            }
                            disconnected.countDown();
                        })) {
            StreamHandle stream = client(server).decode(CALL, log);
            assertEquals(log.next(), "token 0 a");
            stream.close();
            stream.close();
            disconnected.await();
            assertEquals(log.rest(), List.of());
        }
    }

    @Test
    public void mutatedStreamsEndOnceAndNeverThrow() {
        // A faulty engine may send any bytes, split anywhere. The listener must receive exactly one
        // final event, or the caller would hang or receive events after the end of its response.
        String validStream = "{\"event\":\"imported\",\"bytes\":4096}\n" + TOKEN_0 + TOKEN_1 + END;
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(SEED);
        int ended = 0;
        for (int i = 0; i < MUTANTS; i++) {
            byte[] bytes = validStream.getBytes(StandardCharsets.UTF_8);
            bytes[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(Byte.SIZE));
            List<String> events = eventsOf(bytes, random.nextInt(bytes.length));
            long last = events.stream().filter(event -> event.matches("(end|failed|br).*")).count();
            assertEquals(last, 1, events.toString());
            String end = events.get(events.size() - 1);
            assertTrue(end.matches("(end|failed|broken).*"), events.toString());
            ended += end.startsWith("end") ? 1 : 0;
        }
        assertTrue(ended > 0 && ended < MUTANTS, ended + " ended");
    }

    /** Passes bytes to a stream in two parts, without a network. */
    private static List<String> eventsOf(byte[] bytes, int split) {
        StreamLog log = new StreamLog();
        ClientRequestContext context =
                ClientRequestContext.of(HttpRequest.of(HttpMethod.POST, "/v1/decode"));
        DecodeStream stream =
                new DecodeStream(new EngineJson(), log, context, HttpResponse.streaming());
        stream.onSubscribe(UNBOUNDED);
        stream.onNext(ResponseHeaders.of(HttpStatus.OK));
        stream.onNext(HttpData.wrap(Arrays.copyOf(bytes, split)));
        stream.onNext(HttpData.wrap(Arrays.copyOfRange(bytes, split, bytes.length)));
        stream.onComplete();
        return log.rest();
    }

    /** Writes the body of a stream. */
    private interface Body {
        void write(java.net.Socket socket) throws IOException;
    }

    private void assertEvents(Body body, List<String> events) throws Exception {
        StreamLog log = decode(body);
        assertEquals(log.next(events.size()), events);
        assertEquals(log.rest(), List.of());
    }

    /** Reads a complete stream whose connection closes after its body. */
    private StreamLog decode(Body body) throws Exception {
        StreamLog log = new StreamLog();
        CountDownLatch written = new CountDownLatch(1);
        try (RawServer server =
                new RawServer(
                        (socket, number) -> {
                            RawServer.readHeaders(socket);
                            RawServer.writeStreamHeaders(socket);
                            body.write(socket);
                            written.countDown();
                        })) {
            client(server).decode(CALL, log);
            written.await();
        }
        return log;
    }

    private String refusal(int status, String body) throws Exception {
        StreamLog log = new StreamLog();
        try (RawServer server =
                new RawServer(
                        (socket, number) -> {
                            RawServer.readHeaders(socket);
                            RawServer.respond(socket, status, body);
                        })) {
            client(server).decode(CALL, log);
            return log.next();
        }
    }

    private String failedEvent(String reason) throws Exception {
        String line = "{\"event\":\"failed\",\"reason\":\"" + reason + "\"}\n";
        return decode(socket -> RawServer.writeChunk(socket, line)).next();
    }

    private HttpEngineClient client(RawServer server) {
        return new HttpEngineClient(mConnections, server.spec(), TIMEOUT_MILLIS);
    }

    private static void awaitUninterruptibly(CountDownLatch latch) throws IOException {
        try {
            latch.await();
        } catch (InterruptedException stopped) {
            throw new IOException(stopped);
        }
    }
}
