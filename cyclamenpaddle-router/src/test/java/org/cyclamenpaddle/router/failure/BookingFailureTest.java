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

/**
 * Tests that a booking runs at most once, and that "not run" is true, while platform and service
 * fail.
 */
public class BookingFailureTest {

    private TestFleet mFleet;

    @BeforeMethod
    public void start() {
        mFleet = new TestFleet().plainServices(2).hosts(2).configure();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mFleet.close();
    }

    // The platform refuses every call, so no claim can be written. The caller gets "not run"
    // immediately, with Retry-After, and nothing has run. After the outage the same key books once.
    @Test
    public void unreachablePlatformMeansNotRun() {
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

    // The platform writes the claim but its response is lost. The host reads back whose attempt the
    // claim names and dispatches once; the resend at the other host gets the same response.
    @Test
    public void lostClaimResponseIsResolvedByReadingBack() {
        mFleet.platform().loseResponses(1);

        HttpResponse<String> first = mFleet.caller("h1").book("k-lost", "2");
        HttpResponse<String> again = mFleet.caller("h2").book("k-lost", "2");

        assertEquals(first.statusCode(), 200, first.body());
        assertEquals(again.body(), first.body());
        assertEquals(mFleet.runs("k-lost"), 1);
    }

    // The service runs the booking and drops the connection before responding. The booking may have
    // run, so the caller gets "unknown", never "not run"; resends at both hosts run nothing again.
    @Test
    public void lostServiceResponseIsUnknownAndNeverRunsAgain() {
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

    // One service instance is unreachable. No byte of the call can have been sent to it, so another
    // instance is tried, and the booking runs there once.
    @Test
    public void unreachableInstanceIsSkipped() {
        mFleet.closePlain(1);

        HttpResponse<String> response = mFleet.caller("h1").book("k-down", "4");

        assertEquals(response.statusCode(), 200, response.body());
        assertEquals(mFleet.runs("k-down"), 1);
    }

    // The host that ran the booking fails, and the response is lost. A resend at the other host
    // finds the claim, cannot query its holder, and reports that the call is not known to have run;
    // it never runs again.
    @Test
    public void deadClaimHolderMeansNoSecondRun() {
        mFleet.caller("h1").book("k-dead", "5");
        mFleet.killHost("h1");

        HttpResponse<String> again = mFleet.caller("h2").book("k-dead", "5");

        assertTrue(again.statusCode() >= 400, again.body());
        assertTrue(!outcome(again).equals("not-run"), again.body());
        assertEquals(mFleet.runs("k-dead"), 1);
    }

    // The same key arrives with another body. It identifies another request, which is refused.
    @Test
    public void keyOfAnotherRequestIsRefused() {
        mFleet.caller("h1").book("k-twice", "6");

        HttpResponse<String> other = mFleet.caller("h2").book("k-twice", "7");

        assertEquals(other.statusCode(), 422, other.body());
        assertEquals(mFleet.runs("k-twice"), 1);
    }

    private String outcome(HttpResponse<String> response) {
        Caller any = mFleet.caller("h2");
        return any.problem(response).path("outcome").asText();
    }
}
