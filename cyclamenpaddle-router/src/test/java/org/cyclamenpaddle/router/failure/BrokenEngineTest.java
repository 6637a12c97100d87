package org.cyclamenpaddle.router.failure;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpResponse;
import org.cyclamenpaddle.router.fixture.Await;
import org.cyclamenpaddle.router.fixture.Caller;
import org.cyclamenpaddle.router.fixture.OpenAnswer;
import org.cyclamenpaddle.router.fixture.TestFleet;
import org.cyclamenpaddle.standins.engine.CompletionText;
import org.cyclamenpaddle.standins.engine.EngineSettings;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Answers stay whole, once and in order, while engines, streams and transfers fail. */
public class BrokenEngineTest {

    private static final int TOKENS = 120;
    private static final String PROMPT = "Site history of a dry powder extinguisher. ";

    private TestFleet mFleet;

    @BeforeMethod
    public void start() {
        mFleet = new TestFleet().engines(2, 3, EngineSettings.DEFAULT).hosts(2).configured();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mFleet.close();
    }

    // The decode engine dies after some tokens and comes back empty. The stream breaks, a new
    // connection finds no such attempt, and the request is prefilled elsewhere with the tokens
    // already sent. The caller sees one whole answer, token for token that of no failure.
    @Test
    public void answerIsWholeAfterDecodeEngineCrash() {
        OpenAnswer answer = mFleet.caller("h1").stream(PROMPT, TOKENS).awaitEvents(10);
        int busy = busyDecode();
        mFleet.decode(busy).restartAfterCrash(200);

        mFleet.decode(busy).crash();

        assertEquals(answer.text(), CompletionText.generate(PROMPT, TOKENS));
        Await.until("engines hold nothing", () -> mFleet.heldPieces() == 0);
    }

    // Every open stream goes silent for good while new connections work, as when something between
    // the two ends has lost track of them. After the silence the stream is resumed from its next
    // index by a new connection.
    @Test
    public void answerIsWholeAfterOpenStreamsGoSilent() {
        OpenAnswer answer = mFleet.caller("h1").stream(PROMPT, TOKENS).awaitEvents(10);

        mFleet.decode(busyDecode()).silenceStreams();

        assertEquals(answer.text(), CompletionText.generate(PROMPT, TOKENS));
    }

    // The first transfer stalls. Its deadline passes, the attempt is cancelled, and the request is
    // placed again; the caller waits longer but gets its answer.
    @Test
    public void answerIsWholeAfterStalledTransfer() {
        mFleet.prefill(1).stallTransfers(1);
        mFleet.prefill(2).stallTransfers(1);

        HttpResponse<String> answer = mFleet.caller("h1").complete(PROMPT, 10, true);

        assertEquals(Caller.text(answer.body()), CompletionText.generate(PROMPT, 10));
        Await.until("engines hold nothing", () -> mFleet.heldPieces() == 0);
    }

    // A request kills each engine that runs it, and its caller sends it again through the other
    // host. After strikes on two distinct servers it is refused at once, on every host, with the
    // reason; the other engines live on and serve other callers.
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
