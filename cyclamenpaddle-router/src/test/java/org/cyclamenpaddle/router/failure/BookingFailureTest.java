package org.cyclamenpaddle.router.failure;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpResponse;
import org.cyclamenpaddle.router.fixture.Await;
import org.cyclamenpaddle.router.fixture.Caller;
import org.cyclamenpaddle.router.fixture.TestFleet;
import org.cyclamenpaddle.standins.platform.Outage;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A booking runs at most once, and "not run" is true, while platform and service fail. */
public class BookingFailureTest {

    private TestFleet mFleet;

    @BeforeMethod
    public void start() {
        mFleet = new TestFleet().plainServices(2).hosts(2).configured();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mFleet.close();
    }

    // The platform refuses every call. No claim can be had, so the caller hears "not run" at once
    // with Retry-After, and nothing has run. When the platform is back the same key books once.
    @Test
    public void platformAwayMeansNotRun() {
        mFleet.platform().outage(Outage.REFUSE);

        HttpResponse<String> refused = mFleet.caller("h1").book("k-away", "1");

        assertEquals(outcome(refused), "not-run", refused.body());
        assertTrue(refused.headers().firstValue("Retry-After").isPresent());
        assertEquals(mFleet.runs("k-away"), 0);
        mFleet.platform().outage(Outage.NONE);
        Await.until(
                "booked after the outage",
                () -> mFleet.caller("h1").book("k-away", "1").statusCode() == 200);
        assertEquals(mFleet.runs("k-away"), 1);
    }

    // The platform makes the claim but its answer is lost. The host reads back whose attempt it is
    // and dispatches once; the resend at the other host gets the same answer.
    @Test
    public void lostClaimAnswerIsSettledByReadingBack() {
        mFleet.platform().loseResponses(1);

        HttpResponse<String> first = mFleet.caller("h1").book("k-lost", "2");
        HttpResponse<String> again = mFleet.caller("h2").book("k-lost", "2");

        assertEquals(first.statusCode(), 200, first.body());
        assertEquals(again.body(), first.body());
        assertEquals(mFleet.runs("k-lost"), 1);
    }

    // The service runs the booking and drops the connection before answering. It may have run, so
    // the caller hears "unknown", never "not run"; resends at both hosts run nothing again.
    @Test
    public void lostServiceAnswerIsUnknownAndNeverRunsAgain() {
        mFleet.plain(1).loseResponses(1);
        mFleet.plain(2).loseResponses(1);

        HttpResponse<String> first = mFleet.caller("h1").book("k-cut", "3");
        HttpResponse<String> again = mFleet.caller("h2").book("k-cut", "3");
        HttpResponse<String> third = mFleet.caller("h1").book("k-cut", "3");

        assertEquals(outcome(first), "unknown", first.body());
        assertEquals(outcome(again), "unknown", again.body());
        assertEquals(outcome(third), "unknown", third.body());
        assertEquals(mFleet.runs("k-cut"), 1);
    }

    // One instance of the service is down. No byte of the call can have left for it, so another
    // instance is tried, and the booking runs there once.
    @Test
    public void instanceThatIsDownIsPassedOver() {
        mFleet.closePlain(1);

        HttpResponse<String> answer = mFleet.caller("h1").book("k-down", "4");

        assertEquals(answer.statusCode(), 200, answer.body());
        assertEquals(mFleet.runs("k-down"), 1);
    }

    // The host that ran the booking dies with the answer. A resend at the other host finds the
    // claim, can't ask its holder, and says that the call is not known to have run; it never runs
    // again.
    @Test
    public void deadClaimerMeansNoSecondRun() {
        mFleet.caller("h1").book("k-dead", "5");
        mFleet.killHost("h1");

        HttpResponse<String> again = mFleet.caller("h2").book("k-dead", "5");

        assertTrue(again.statusCode() >= 400, again.body());
        assertTrue(!outcome(again).equals("not-run"), again.body());
        assertEquals(mFleet.runs("k-dead"), 1);
    }

    // The same key comes with another body. It stands for another request, which is refused.
    @Test
    public void keyOfAnotherRequestIsRefused() {
        mFleet.caller("h1").book("k-twice", "6");

        HttpResponse<String> other = mFleet.caller("h2").book("k-twice", "7");

        assertEquals(other.statusCode(), 422, other.body());
        assertEquals(mFleet.runs("k-twice"), 1);
    }

    private String outcome(HttpResponse<String> answer) {
        Caller any = mFleet.caller("h2");
        return any.problem(answer).path("outcome").asText();
    }
}
