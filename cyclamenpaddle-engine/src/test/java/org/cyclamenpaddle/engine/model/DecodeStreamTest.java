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
    public void eventsArriveTypedAndInOrderHoweverTheyAreCut() throws Exception {
        String stream = "{\"event\":\"imported\",\"bytes\":4096}\n" + TOKEN_0 + TOKEN_1 + END;
        for (int cut = 1; cut < stream.length(); cut += 7) {
            int at = cut;
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
    public void streamCutInTheMiddleOfLineIsBroken() throws Exception {
        // The caller would see half a token. The engine dies while it writes a line; the whole
        // lines before count, the partial one never does, and the stream ends as broken.
        assertEvents(
                socket -> {
                    RawServer.writeChunk(socket, TOKEN_0);
                    RawServer.writeChunk(socket, TOKEN_1.substring(0, TOKEN_1.length() - 3));
                },
                List.of("token 0 a", BROKEN));
    }

    @Test
    public void streamThatEndsCleanlyWithoutItsEndMarkIsBroken() throws Exception {
        // The caller would take a cut answer for a whole one. The engine, or something between,
        // ends the HTTP body properly before the end event; only that event makes it whole.
        assertEvents(
                socket -> {
                    RawServer.writeChunk(socket, TOKEN_0);
                    RawServer.writeLastChunk(socket);
                },
                List.of("token 0 a", BROKEN));
    }

    @Test
    public void nothingIsHeardAfterTheEndMark() {
        byte[] bytes = (END + TOKEN_0).getBytes(StandardCharsets.UTF_8);
        assertEquals(eventsOf(bytes, 0), List.of("end 2 stop"));
    }

    @Test
    public void lineWithoutEndIsRefused() throws Exception {
        // The host would run out of memory. An engine gone wrong sends one endless line; after the
        // longest line that is allowed the stream is given up.
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
    public void refusedConnectionIsTold() throws Exception {
        int port;
        try (ServerSocket socket = new ServerSocket(0)) {
            port = socket.getLocalPort();
        }
        StreamLog log = new StreamLog();
        new HttpEngineClient(mConnections, RawServer.spec(port), TIMEOUT_MILLIS).decode(CALL, log);
        assertEquals(log.next(), "broken Unreachable[connected=false]");
    }

    @Test
    public void resumeOpensNewConnectionWhileTheOldOneIsSilent() throws Exception {
        // The caller's tokens stop. Something between the ends lost track of the connection, which
        // stays open and silent; a resume over it would be lost as well, over a new one it works.
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
    public void closedStreamIsHeardOfNoMore() throws Exception {
        CountDownLatch gone = new CountDownLatch(1);
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
                            gone.countDown();
                        })) {
            StreamHandle stream = client(server).decode(CALL, log);
            assertEquals(log.next(), "token 0 a");
            stream.close();
            stream.close();
            gone.await();
            assertEquals(log.rest(), List.of());
        }
    }

    @Test
    public void mutatedStreamsEndOnceAndNeverThrow() {
        // The caller would hang, or hear of its answer after its end. Any bytes may come from an
        // engine gone wrong, cut anywhere; the listener hears exactly one last event.
        String whole = "{\"event\":\"imported\",\"bytes\":4096}\n" + TOKEN_0 + TOKEN_1 + END;
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(SEED);
        int ended = 0;
        for (int i = 0; i < MUTANTS; i++) {
            byte[] bytes = whole.getBytes(StandardCharsets.UTF_8);
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

    /** Hands bytes to a stream in two parts, without a network. */
    private static List<String> eventsOf(byte[] bytes, int cut) {
        StreamLog log = new StreamLog();
        ClientRequestContext context =
                ClientRequestContext.of(HttpRequest.of(HttpMethod.POST, "/v1/decode"));
        DecodeStream stream =
                new DecodeStream(new EngineJson(), log, context, HttpResponse.streaming());
        stream.onSubscribe(UNBOUNDED);
        stream.onNext(ResponseHeaders.of(HttpStatus.OK));
        stream.onNext(HttpData.wrap(Arrays.copyOf(bytes, cut)));
        stream.onNext(HttpData.wrap(Arrays.copyOfRange(bytes, cut, bytes.length)));
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

    /** Reads a whole stream whose connection ends after its body. */
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
                            RawServer.answer(socket, status, body);
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
