package org.cyclamenpaddle.router.failure;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.fleet.drain.StopStage;
import org.cyclamenpaddle.router.fixture.Await;
import org.cyclamenpaddle.router.fixture.Caller;
import org.cyclamenpaddle.router.fixture.Operator;
import org.cyclamenpaddle.router.fixture.TestFleet;
import org.cyclamenpaddle.standins.engine.CompletionText;
import org.cyclamenpaddle.standins.engine.EngineSettings;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests that planned stops cut off no response, and that a leaving backend server gets no new work.
 */
public class PlannedStopTest {

    private static final int TOKENS = 100;
    private static final String PROMPT = "Recharge of a tagged extinguisher in Kalgoorlie. ";

    private TestFleet mFleet;

    @BeforeMethod
    public void start() {
        mFleet = new TestFleet().engines(1, 2, EngineSettings.DEFAULT).hosts(2).configure();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mFleet.close();
    }

    // A host is stopped twice while it streams a response. Readiness changes first; the response
    // continues to its end; only then does the host leave.
    @Test
    public void hostCompletesResponsesBeforeItLeaves() {
        CompletableFuture<HttpResponse<String>> response =
                mFleet.caller("h1").completeAsync(PROMPT, TOKENS);
        Await.until("an engine is busy", () -> mFleet.heldPieces() > 0);

        CompletableFuture<Void> stopped = mFleet.host("h1").stop();
        mFleet.host("h1").stop();

        assertFalse(mFleet.caller("h1").ready());
        assertEquals(Caller.text(response.join().body()), CompletionText.generate(PROMPT, TOKENS));
        stopped.join();
        assertEquals(mFleet.host("h1").stage(), StopStage.STOPPED);
        assertEquals(
                Caller.text(mFleet.caller("h2").complete(PROMPT, 5, true).body()),
                CompletionText.generate(PROMPT, 5));
    }

    // An operator drains a decode engine that streams a response. The response continues to its
    // end, and every request that arrives after the change runs on the other engine.
    @Test
    public void drainingServerFinishesAndGetsNothingNew() {
        CompletableFuture<HttpResponse<String>> response =
                mFleet.caller("h1").completeAsync(PROMPT, TOKENS);
        Await.until("a decode engine is busy", () -> busy(1) || busy(2));
        int leaving = busy(1) ? 1 : 2;

        mFleet.operator("h1").drain("d" + leaving);
        Await.until(
                "both hosts see the drain",
                () -> leavingOn("h1", leaving) && leavingOn("h2", leaving));

        assertEquals(Caller.text(response.join().body()), CompletionText.generate(PROMPT, TOKENS));
        long before = mFleet.decode(leaving).counts().attempts();
        for (int i = 0; i < 6; i++) {
            String host = i % 2 == 0 ? "h1" : "h2";
            assertEquals(mFleet.caller(host).complete(PROMPT + i, 3, true).statusCode(), 200);
        }
        assertEquals(mFleet.decode(leaving).counts().attempts(), before);
    }

    private boolean busy(int decode) {
        return mFleet.decode(decode).heldPieces() > 0;
    }

    private boolean leavingOn(String host, int decode) {
        Operator operator = mFleet.operator(host);
        for (var backend : operator.status().path("backends")) {
            if (backend.path("backend").asText().equals("d" + decode)) {
                return backend.path("leaving").asBoolean();
            }
        }
        return false;
    }
}
