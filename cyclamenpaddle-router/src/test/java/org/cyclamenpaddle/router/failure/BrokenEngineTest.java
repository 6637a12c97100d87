package org.cyclamenpaddle.router.failure;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpResponse;
import org.cyclamenpaddle.router.fixture.Await;
import org.cyclamenpaddle.router.fixture.Caller;
import org.cyclamenpaddle.router.fixture.StreamingResponse;
import org.cyclamenpaddle.router.fixture.TestFleet;
import org.cyclamenpaddle.standins.engine.CompletionText;
import org.cyclamenpaddle.standins.engine.EngineSettings;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests that responses stay complete, without duplicates and in order, while engines, streams and
 * transfers fail.
 */
public class BrokenEngineTest {

    private static final int TOKENS = 120;
    private static final String PROMPT = "Site history of a dry powder extinguisher. ";

    private TestFleet mFleet;

    @BeforeMethod
    public void start() {
        mFleet = new TestFleet().engines(2, 3, EngineSettings.DEFAULT).hosts(2).configure();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mFleet.close();
    }

    // The decode engine crashes after some tokens and restarts empty. The stream breaks, a new
    // connection finds no such attempt, and the request is prefilled on another engine with the
    // tokens already sent. The caller receives one complete response, token for token the same as
    // without the failure.
    @Test
    public void responseIsCompleteAfterDecodeEngineCrash() {
        StreamingResponse response = mFleet.caller("h1").stream(PROMPT, TOKENS).awaitEvents(10);
        int busy = busyDecode();
        mFleet.decode(busy).restartAfterCrash(200);

        mFleet.decode(busy).crash();

        assertEquals(response.text(), CompletionText.generate(PROMPT, TOKENS));
        Await.until("engines hold no memory", () -> mFleet.heldPieces() == 0);
    }

    // Every open stream goes silent permanently while new connections work, as when a network
    // device between the two ends has lost its connection state. After the silence timeout the
    // stream is resumed from its next index over a new connection.
    @Test
    public void responseIsCompleteAfterOpenStreamsGoSilent() {
        StreamingResponse response = mFleet.caller("h1").stream(PROMPT, TOKENS).awaitEvents(10);

        mFleet.decode(busyDecode()).silenceStreams();

        assertEquals(response.text(), CompletionText.generate(PROMPT, TOKENS));
    }

    // The first transfer stalls. Its deadline passes, the attempt is cancelled, and the request is
    // placed again; the caller waits longer but gets its response.
    @Test
    public void responseIsCompleteAfterStalledTransfer() {
        mFleet.prefill(1).stallTransfers(1);
        mFleet.prefill(2).stallTransfers(1);

        HttpResponse<String> response = mFleet.caller("h1").complete(PROMPT, 10, true);

        assertEquals(Caller.text(response.body()), CompletionText.generate(PROMPT, 10));
        Await.until("engines hold no memory", () -> mFleet.heldPieces() == 0);
    }

    // A request crashes each engine that runs it, and its caller resends it through the other host.
    // After strikes on two distinct servers every host refuses it immediately, with the reason; the
    // other engines stay up and serve other callers.
    @Test
    public void crashingRequestIsQuarantinedOnEveryHost() {
        String poison = "Visit write-up CRASH-ENGINE";
        for (int i = 1; i <= 2; i++) {
            mFleet.prefill(i).restartAfterCrash(100);
        }

        mFleet.caller("h1").complete(poison, 5, true);
        HttpResponse<String> again = mFleet.caller("h2").complete(poison, 5, true);
        HttpResponse<String> third = mFleet.caller("h1").complete(poison, 5, true);

        long crashes = mFleet.prefill(1).counts().crashes() + mFleet.prefill(2).counts().crashes();
        assertEquals(again.statusCode(), 422, again.body());
        assertEquals(third.statusCode(), 422, third.body());
        assertTrue(crashes <= 2, crashes + " crashes");
        Await.until(
                "other requests are served",
                () -> mFleet.caller("h2").complete(PROMPT, 3, true).statusCode() == 200);
    }

    private int busyDecode() {
        int[] busy = new int[1];
        Await.until(
                "a decode engine is busy",
                () -> {
                    for (int i = 1; i <= 3; i++) {
                        if (mFleet.decode(i).heldPieces() > 0) {
                            busy[0] = i;
                        }
                    }
                    return busy[0] > 0;
                });
        return busy[0];
    }
}
