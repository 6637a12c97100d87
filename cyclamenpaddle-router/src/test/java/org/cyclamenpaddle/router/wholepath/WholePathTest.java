package org.cyclamenpaddle.router.wholepath;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpResponse;
import org.cyclamenpaddle.router.fixture.Await;
import org.cyclamenpaddle.router.fixture.Caller;
import org.cyclamenpaddle.router.fixture.TestFleet;
import org.cyclamenpaddle.standins.engine.CompletionText;
import org.cyclamenpaddle.standins.engine.EngineSettings;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests requests served end to end over real sockets, and requests that must be refused. */
public class WholePathTest {

    private static final String PROMPT = "Mandi circular 14: lots of malting barley from Mehsana";

    private TestFleet mFleet;

    @BeforeClass
    public void start() {
        mFleet =
                new TestFleet()
                        .engines(1, 2, EngineSettings.DEFAULT)
                        .plainServices(2)
                        .hosts(2)
                        .configure();
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        mFleet.close();
    }

    @Test
    public void streamsCompleteResponseFromEachHost() {
        for (String host : new String[] {"h1", "h2"}) {
            HttpResponse<String> response = mFleet.caller(host).complete(PROMPT, 12, true);

            assertEquals(response.statusCode(), 200, response.body());
            assertEquals(Caller.text(response.body()), CompletionText.generate(PROMPT, 12));
        }
        Await.until("engines hold no memory", () -> mFleet.heldPieces() == 0);
    }

    @Test
    public void respondsWithoutStreaming() {
        Caller caller = mFleet.caller("h1");

        HttpResponse<String> response = caller.complete(PROMPT, 5, false);

        assertEquals(
                caller.problem(response).path("choices").path(0).path("text").asText(),
                CompletionText.generate(PROMPT, 5));
    }

    @Test
    public void booksOnceAndReplaysToResendAtOtherHost() {
        HttpResponse<String> first = mFleet.caller("h1").book("lot-7", "7");
        HttpResponse<String> again = mFleet.caller("h2").book("lot-7", "7");

        assertEquals(first.statusCode(), 200, first.body());
        assertEquals(again.body(), first.body());
        assertEquals(mFleet.runs("lot-7"), 1);
    }

    @Test
    public void repeatableCallNeedsNoKey() {
        HttpResponse<String> response =
                mFleet.caller("h2").send("GET", "/v1/services/" + TestFleet.BOOKING + "/stock", "");

        assertEquals(response.statusCode(), 200, response.body());
    }

    @Test
    public void rejectsInvalidRequestsWithReason() {
        refused("this is no JSON", 400, "bad-body");
        refused("{\"model\": 7}", 400, "bad-body");
        refused("{\"model\": \"no-such\", \"prompt\": \"x\"}", 404, "unknown-service");
        refused("{\"model\": \"spot-book\", \"prompt\": \"x\"}", 404, "unknown-service");
        refused("x".repeat(5 << 20), 413, "body-too-long");
        assertTrue(mFleet.caller("h1").ready());
    }

    @Test
    public void bookingWithoutKeyDoesNotRun() {
        long before = mFleet.plain(1).bookings() + mFleet.plain(2).bookings();

        HttpResponse<String> response =
                mFleet.caller("h1")
                        .send("POST", "/v1/services/" + TestFleet.BOOKING + "/book", "{}");

        assertEquals(response.statusCode(), 400, response.body());
        assertEquals(mFleet.plain(1).bookings() + mFleet.plain(2).bookings(), before);
    }

    private void refused(String body, int status, String reason) {
        Caller caller = mFleet.caller("h1");

        HttpResponse<String> response = caller.complete(body);

        assertEquals(response.statusCode(), status, response.body());
        assertEquals(caller.problem(response).path("reason").asText(), reason);
    }
}
