package org.cyclamenpaddle.router.failure;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import java.net.http.HttpResponse;
import org.cyclamenpaddle.router.fixture.Await;
import org.cyclamenpaddle.router.fixture.Caller;
import org.cyclamenpaddle.router.fixture.CutRelay;
import org.cyclamenpaddle.router.fixture.Operator;
import org.cyclamenpaddle.router.fixture.TestFleet;
import org.cyclamenpaddle.standins.engine.CompletionText;
import org.cyclamenpaddle.standins.engine.EngineSettings;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The network between one entry host and the platform breaks without closing a connection. */
public class PlatformCutTest {

    private static final int ROUNDS = 5;
    private static final String PROMPT = "Sprinkler valves tested in Bunbury. ";

    private TestFleet mFleet;
    private CutRelay mRelay;

    @BeforeMethod
    public void start() {
        mFleet = new TestFleet();
        mRelay = new CutRelay(mFleet.platform().port());
        mFleet.platformThrough("h1", mRelay)
                .engines(1, 1, EngineSettings.DEFAULT)
                .plainServices(1)
                .hosts(2)
                .configured();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mFleet.close();
        mRelay.close();
    }

    // All connections to the platform, open and new, go silent for good. The host serves by its
    // last configuration, refuses bookings as not run, and runs none. When new connections pass
    // again it books by itself, with nobody's help.
    @Test
    public void cutHostServesRefusesBookingsAndComesBack() {
        mRelay.cut();

        for (int i = 0; i < ROUNDS; i++) {
            assertServes(PROMPT + i);
            String key = "k-cut-" + i;
            HttpResponse<String> refused = mFleet.caller("h1").book(key, "1");
            assertNotEquals(refused.statusCode(), 200, refused.body());
            assertEquals(outcome(refused), "not-run", refused.body());
            assertEquals(mFleet.runs(key), 0);
        }

        mRelay.heal();
        Await.until(
                "h1 books again",
                () -> mFleet.caller("h1").book("k-healed", "2").statusCode() == 200);
        assertEquals(mFleet.runs("k-healed"), 1);
    }

    // A claim reaches the platform, but its answer and all that follow never come. The host can't
    // know, so it must not send the call; the key runs once at the most, whoever resends it, and a
    // key that ran is never called "not run".
    @Test
    public void claimWhoseAnswerNeverComesRunsOnceAtMost() {
        long before = mFleet.platform().revision();
        mRelay.holdAnswersToWrites();

        HttpResponse<String> first = mFleet.caller("h1").book("k-held", "3");
        assertEquals(mFleet.platform().revision() > before, true, "the claim is stored");
        assertTrueOutcome(first, "k-held");
        mRelay.cut();
        mRelay.releaseAnswers();
        assertTrueOutcome(mFleet.caller("h2").book("k-held", "3"), "k-held");
        mRelay.heal();
        Await.until(
                "h1 books again",
                () -> mFleet.caller("h1").book("k-healed", "4").statusCode() == 200);
        assertTrueOutcome(mFleet.caller("h1").book("k-held", "3"), "k-held");
        assertTrueOutcome(mFleet.caller("h2").book("k-held", "3"), "k-held");
    }

    // While one host is cut off, an operator drains a backend server through another. The host that
    // is cut off hears of it from its peer, or at the latest when the network heals.
    @Test
    public void cutHostLearnsChangesMadeElsewhere() {
        mRelay.cut();

        mFleet.operator("h2").drain("b1");

        assertServes(PROMPT);
        mRelay.heal();
        Await.until("h1 knows", () -> leaving(mFleet.operator("h1")));
    }

    private void assertServes(String prompt) {
        HttpResponse<String> answer = mFleet.caller("h1").complete(prompt, 3, true);
        assertEquals(answer.statusCode(), 200, answer.body());
        assertEquals(Caller.text(answer.body()), CompletionText.generate(prompt, 3));
    }

    private void assertTrueOutcome(HttpResponse<String> answer, String key) {
        int runs = mFleet.runs(key);
        boolean done = answer.statusCode() == 200;
        boolean notRun = !done && outcome(answer).equals("not-run");
        int most = notRun ? 0 : 1;
        int least = done ? 1 : 0;
        assertEquals(Math.max(least, Math.min(most, runs)), runs, runs + ": " + answer.body());
    }

    private String outcome(HttpResponse<String> answer) {
        return mFleet.caller("h1").problem(answer).path("outcome").asText();
    }

    private static boolean leaving(Operator operator) {
        for (var backend : operator.status().path("backends")) {
            if (backend.path("backend").asText().equals("b1")) {
                return backend.path("leaving").asBoolean();
            }
        }
        return false;
    }
}
