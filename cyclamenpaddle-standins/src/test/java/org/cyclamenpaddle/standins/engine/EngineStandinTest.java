package org.cyclamenpaddle.standins.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.stream.StreamMessage;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletionException;
import java.util.concurrent.LinkedBlockingQueue;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class EngineStandinTest {

    private static final String PROMPT = "lot sheet ".repeat(200);

    /** Results and events are retained longer than any test takes, even on a slow machine. */
    private static final EngineSettings SETTINGS =
            EngineSettings.fromJson(
                    "{\"speed\": 10, \"resultMillis\": 36000000, \"keepMillis\": 36000000}");

    private EngineStandin mSource;
    private EngineStandin mTarget;

    @BeforeMethod
    public void start() {
        mSource = new EngineStandin(SETTINGS);
        mTarget = new EngineStandin(SETTINGS);
        mSource.start(0);
        mTarget.start(0);
    }

    @AfterMethod
    public void stop() {
        mSource.close();
        mTarget.close();
    }

    @Test
    public void decodeFetchesTheResultAndStreamsTheCompletion() {
        prefill(PROMPT);
        String body = decode(8).aggregate().join().contentUtf8();
        assertTrue(body.startsWith("{\"event\":\"imported\",\"bytes\":"), body);
        assertTrue(body.contains("\"index\":7"), body);
        assertTrue(body.endsWith("\"finishReason\":\"length\"}\n"), body);
        assertEquals(mSource.heldPieces() + mTarget.heldPieces(), 0);
        assertEquals(mSource.counts().wastedTokens(), 0);
        String resumed = get(mTarget, "/v1/attempts/d:1:1/stream?from=6").contentUtf8();
        assertEquals(resumed.split("\"event\":\"token\"", -1).length - 1, 2, resumed);
    }

    @Test
    public void decodeOfAnUnknownResultFailsAsEvicted() {
        String body = decode(8).aggregate().join().contentUtf8();
        assertEquals(body, "{\"event\":\"failed\",\"reason\":\"evicted\"}\n");
    }

    @Test
    public void stalledTransferFailsAndTheSecondTransferOfTheResultSucceeds() {
        // The first transfer stalls. The decode engine times out after transferMillis and aborts
        // its export, and the result must still be available for a second attempt.
        prefill(PROMPT);
        mSource.stallTransfers(1);
        String first = decode("d:1:1", 8, 200).aggregate().join().contentUtf8();
        assertEquals(first, "{\"event\":\"failed\",\"reason\":\"transfer-stalled\"}\n");
        String second = decode("d:1:2", 8, 600_000).aggregate().join().contentUtf8();
        assertTrue(second.contains("\"event\":\"end\""), second);
    }

    @Test
    public void silencedConnectionStaysSilentWhileNewOnesWork() throws InterruptedException {
        // A stream stalls without an end event. The attempt continues in the engine, and only a new
        // connection can read its events.
        prefill(PROMPT);
        BlockingQueue<String> lines = new LinkedBlockingQueue<>();
        read(decode(10_000), lines);
        assertTrue(lines.take().contains("imported"));
        mTarget.silenceStreams();
        ClientFactory factory = ClientFactory.builder().build();
        HttpResponse fresh =
                WebClient.builder(uri(mTarget))
                        .factory(factory)
                        .responseTimeoutMillis(0)
                        .build()
                        .get("/v1/attempts/d:1:1/stream?from=0");
        BlockingQueue<String> resumed = new LinkedBlockingQueue<>();
        read(fresh, resumed);
        int received = lines.size();
        while (!resumed.take().contains("\"index\":" + (received + 50))) {
            assertTrue(lines.size() <= received + 5, "the silenced stream continued");
        }
        factory.close();
    }

    @Test
    public void lostCancelHasNoEffectAndTheNextOneFrees() {
        prefill(PROMPT);
        BlockingQueue<String> lines = new LinkedBlockingQueue<>();
        read(decode(100_000), lines);
        mTarget.loseCancels(1);
        assertThrows(CompletionException.class, () -> cancel("d:1:1"));
        assertTrue(get(mTarget, "/v1/attempts").contentUtf8().contains("\"ended\":false"));
        assertEquals(cancel("d:1:1").contentUtf8(), "{\"heldPieces\":0}");
        assertEquals(mTarget.heldPieces(), 0);
    }

    @Test
    public void crashDropsConnectionsAndStateAndTheEngineRestartsEmpty() {
        mSource.restartAfterCrash(0);
        int port = mSource.port();
        assertThrows(CompletionException.class, () -> prefill("text " + EngineModel.CRASH_MARK));
        assertEquals(mSource.counts().crashes(), 1);
        mSource.restart();
        assertEquals(mSource.port(), port);
        assertEquals(get(mSource, "/v1/attempts").contentUtf8(), "{\"attempts\":[]}");
        assertEquals(mSource.heldPieces(), 0);
    }

    @Test
    public void switchesWorkOverHttp() {
        AggregatedHttpResponse response =
                post(mSource, "/standin/faults", "{\"refuse\": true}").aggregate().join();
        assertEquals(response.status().code(), 200, response.contentUtf8());
        AggregatedHttpResponse rejected =
                post(mSource, "/v1/prefill", "{\"attempt\": \"a\", \"prompt\": \"p\"}")
                        .aggregate()
                        .join();
        assertEquals(rejected.status().code(), 503);
        assertTrue(rejected.contentUtf8().contains("\"reason\":\"full\""));
        assertFalse(get(mSource, "/standin/counts").contentUtf8().contains("\"attempts\":1"));
    }

    private void prefill(String prompt) {
        String body = "{\"attempt\": \"p:1:1\", \"prompt\": \"" + prompt + "\", \"prior\": []}";
        AggregatedHttpResponse response = post(mSource, "/v1/prefill", body).aggregate().join();
        assertEquals(response.status().code(), 200, response.contentUtf8());
    }

    private HttpResponse decode(int maxTokens) {
        return decode("d:1:1", maxTokens, 600_000);
    }

    private HttpResponse decode(String attempt, int maxTokens, long transferMillis) {
        String body =
                String.format(
                        "{\"attempt\": \"%s\", \"source\": {\"address\": \"127.0.0.1\", \"port\":"
                            + " %d, \"attempt\": \"p:1:1\"}, \"firstIndex\": 0, \"maxTokens\": %d,"
                            + " \"transferMillis\": %d}",
                        attempt, mSource.port(), maxTokens, transferMillis);
        return post(mTarget, "/v1/decode", body);
    }

    private AggregatedHttpResponse cancel(String attempt) {
        return client(mTarget).delete("/v1/attempts/" + attempt).aggregate().join();
    }

    private static AggregatedHttpResponse get(EngineStandin engine, String path) {
        return client(engine).get(path).aggregate().join();
    }

    private static HttpResponse post(EngineStandin engine, String path, String body) {
        return client(engine).execute(HttpRequest.of(HttpMethod.POST, path, MediaType.JSON, body));
    }

    private static WebClient client(EngineStandin engine) {
        return WebClient.builder(uri(engine)).responseTimeoutMillis(0).build();
    }

    private static String uri(EngineStandin engine) {
        return "http://127.0.0.1:" + engine.port();
    }

    private static void read(HttpResponse response, BlockingQueue<String> lines) {
        StreamMessage<HttpData> body = response.split().body();
        body.subscribe(new LineReader(lines));
    }
}
