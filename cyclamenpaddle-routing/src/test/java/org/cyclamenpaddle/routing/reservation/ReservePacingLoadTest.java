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

    private static double rate(int engines, RetryStage stage) {
        return (double) reserveRequests(engines, stage)
                / ReservationWait.begin(0, LIMITS, stage).waitMillis();
    }

    private static int reserveRequests(int engines, RetryStage stage) {
        ReservationWait search = ReservationWait.begin(0, LIMITS, stage);
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
