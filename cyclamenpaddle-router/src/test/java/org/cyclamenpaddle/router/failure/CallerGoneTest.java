package org.cyclamenpaddle.router.failure;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.router.fixture.Await;
import org.cyclamenpaddle.router.fixture.Caller;
import org.cyclamenpaddle.router.fixture.TestFleet;
import org.cyclamenpaddle.standins.engine.CompletionText;
import org.cyclamenpaddle.standins.engine.EngineSettings;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** No engine memory stays held for a caller who has gone. */
public class CallerGoneTest {

    private static final int LONG_ANSWER = 4_000;
    private static final String PROMPT = "Lot quality sheet, moisture 11.8, protein 10.4. ";

    private TestFleet mFleet;

    @BeforeMethod
    public void start() {
        mFleet = new TestFleet().engines(1, 1, EngineSettings.DEFAULT).hosts(2).configured();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mFleet.close();
    }

    // The caller reads some tokens of a long answer and closes its connection. Nobody reads the
    // rest, so the engine must be told; else the attempt would run to its end, a minute later.
    @Test
    public void freesMemoryWhenCallerLeavesWhileStreaming() throws Exception {
        leaveWhileStreaming();

        Await.until("engines hold nothing", () -> mFleet.heldPieces() == 0);
    }

    // The same, but the engine loses the first three cancels with their connections. A cancel that
    // is not confirmed is repeated, so the fourth frees the memory.
    @Test
    public void freesMemoryWhenCancelsAreLost() throws Exception {
        mFleet.decode(1).loseCancels(3);

        leaveWhileStreaming();

        Await.until("engines hold nothing", () -> mFleet.heldPieces() == 0);
    }

    // The caller leaves while the prefill of a long prompt, 0.6 s, is computed, before any token.
    // The
    // prefill must be cancelled and no decode started for it.
    @Test
    public void freesMemoryWhenCallerLeavesDuringPrefill() {
        CompletableFuture<HttpResponse<String>> answer =
                mFleet.caller("h1").completeLater(PROMPT.repeat(1_000), LONG_ANSWER);
        Await.until("prefill holds memory", () -> mFleet.prefill(1).heldPieces() > 0);

        answer.cancel(true);

        Await.until("engines hold nothing", () -> mFleet.heldPieces() == 0);
        assertEquals(mFleet.decode(1).heldPieces(), 0);
    }

    // The entry host is killed in the middle of an answer, with everything it knew. The attempt's
    // id names the dead host's life; the owner of the engine finds it in the engine's own list and
    // cancels it once the death is confirmed.
    @Test
    public void freesMemoryWhenEntryHostDies() throws Exception {
        CompletableFuture<HttpResponse<InputStream>> answer =
                mFleet.caller("h1").open(PROMPT, LONG_ANSWER);
        answer.get().body().read(new byte[100]);
        assertTrue(mFleet.decode(1).heldPieces() > 0);

        mFleet.killHost("h1");

        Await.until("engines hold nothing", () -> mFleet.heldPieces() == 0);
        assertEquals(
                Caller.text(mFleet.caller("h2").complete(PROMPT, 5, true).body()),
                CompletionText.generate(PROMPT, 5));
    }

    private void leaveWhileStreaming() throws IOException {
        HttpResponse<InputStream> answer = mFleet.caller("h1").open(PROMPT, LONG_ANSWER).join();
        answer.body().read(new byte[100]);
        assertTrue(mFleet.decode(1).heldPieces() > 0, "the answer is under way");
        answer.body().close();
    }
}
