package org.cyclamenpaddle.routing.reservation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Simulates the search of one request while every engine of a fleet is full. */
public class ReservePacingLoadTest {

    private static final CallerLimits LIMITS = new CallerLimits(900, 3_600);
    private static final long RESERVE_MILLIS = 5;

    /** Time for which an engine is not tried again after it was full. */
    private static final long FULL_MILLIS = 20;

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{4}, {8}, {48}, {480}};
    }

    /**
     * A burst fills all engines of a large fleet, and each waiting request of each host tried
     * engine after engine without a pause until it was refused.
     */
    @Test(dataProvider = "fleets")
    public void reserveRequestsDoNotGrowWithEngines(int engines) {
        int max = 24;
        int requests = reserveRequests(engines, RetryStage.FIRST);
        assertTrue(requests <= max, requests + " requests with " + engines + " engines");
        assertTrue(
                requests >= ReservePacing.REQUESTS_PER_ROUND,
                requests + " requests with " + engines + " engines");
    }

    /** Returning callers took capacity from requests that could still be served in time. */
    @Test(dataProvider = "fleets")
    public void returningCallerReservesAtLowerRateThanFirstRequest(int engines) {
        double first = rate(engines, RetryStage.FIRST);
        double returning = rate(engines, RetryStage.RETURNING);
        assertTrue(returning < first / 2, returning + " requests per ms against " + first);
    }

    @Test
    public void pausesGrowUpToTheLongest() {
        ReservePacing pacing = new ReservePacing();
        ReservationWait search = ReservationWait.begin(0, LIMITS, RetryStage.FIRST);
        assertEquals(pacing.pauseMillis(search, 0), RetryStage.MIN_PAUSE_MILLIS);
        assertEquals(pacing.pauseMillis(search, 0), 2 * RetryStage.MIN_PAUSE_MILLIS);
        assertEquals(pacing.pauseMillis(search, 0), ReservePacing.MAX_PAUSE_MILLIS);
        assertEquals(pacing.pauseMillis(search, 0), ReservePacing.MAX_PAUSE_MILLIS);
    }

    /**
     * The requests of the most urgent class do not pause longer in each round. Their number must
     * stay bounded all the same, and less urgent requests must ask less often than all do today.
     */
    @Test(dataProvider = "fleets")
    public void lessUrgentRequestsAskLessOften(int engines) {
        int equal = reserveRequests(engines, start(Urgency.EQUAL));
        int highest = reserveRequests(engines, start(new Urgency(0, 0, 2)));
        int middle = reserveRequests(engines, start(new Urgency(1, 1, 1)));
        int lowest = reserveRequests(engines, start(new Urgency(2, 2, 0)));
        assertTrue(highest <= 48, highest + " requests of the most urgent class");
        assertTrue(middle < equal, middle + " requests against " + equal);
        assertTrue(lowest <= middle, lowest + " requests against " + middle);
        assertTrue(lowest >= ReservePacing.REQUESTS_PER_ROUND, lowest + " requests");
    }

    /** A longer pause must not use up the wait: the request would be refused without a last try. */
    @Test
    public void longerPauseEndsBeforeTheWait() {
        ReservationWait search = start(new Urgency(9, 9, 0));
        ReservePacing pacing = new ReservePacing();
        for (long now = 0; search.mayRetry(now + 2 * ReservePacing.MAX_PAUSE_MILLIS); now++) {
            long pause = pacing.pauseMillis(search, now);
            assertTrue(search.mayRetry(now + pause), "pause of " + pause + " ms at " + now);
        }
    }

    private static ReservationWait start(Urgency urgency) {
        return ReservationWait.begin(0, LIMITS, RetryStage.FIRST, urgency);
    }

    private static double rate(int engines, RetryStage stage) {
        return (double) reserveRequests(engines, stage)
                / ReservationWait.begin(0, LIMITS, stage).waitMillis();
    }

    private static int reserveRequests(int engines, RetryStage stage) {
        return reserveRequests(engines, ReservationWait.begin(0, LIMITS, stage));
    }

    private static int reserveRequests(int engines, ReservationWait search) {
        ReservePacing pacing = new ReservePacing();
        long[] fullUntil = new long[engines];
        long now = 0;
        int requests = 0;
        while (true) {
            int engine = pacing.pauseIsDue() ? -1 : free(fullUntil, now);
            if (engine >= 0) {
                now += RESERVE_MILLIS;
                requests++;
                fullUntil[engine] = now + FULL_MILLIS;
                pacing.rejected();
            } else if (!search.mayRetry(now)) {
                return requests;
            } else {
                now += pacing.pauseMillis(search, now);
            }
        }
    }

    private static int free(long[] fullUntil, long now) {
        for (int engine = 0; engine < fullUntil.length; engine++) {
            if (fullUntil[engine] <= now) {
                return engine;
            }
        }
        return -1;
    }
}
