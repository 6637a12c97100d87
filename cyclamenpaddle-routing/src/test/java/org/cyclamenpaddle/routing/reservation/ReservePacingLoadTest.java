package org.cyclamenpaddle.routing.reservation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Plays the search of one request while every engine of a fleet is full. */
public class ReservePacingLoadTest {

    private static final CallerLimits TERMS = new CallerLimits(900, 3_600);
    private static final long ASK_MILLIS = 5;

    /** An engine that has just said that it is full is not asked again for so long. */
    private static final long FULL_MILLIS = 20;

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{4}, {8}, {48}, {480}};
    }

    /**
     * A burst fills all engines of a large fleet, and each waiting request of each host asked
     * engine after engine without a pause until it was refused.
     */
    @Test(dataProvider = "fleets")
    public void asksOfOneRequestDoNotGrowWithTheEngines(int engines) {
        int most = 24;
        int asks = asks(engines, RetryStage.FIRST);
        assertTrue(asks <= most, asks + " asks before " + engines + " engines");
        assertTrue(asks >= ReservePacing.ROUND_ASKS, asks + " asks before " + engines + " engines");
    }

    /** A request that comes back took places from those that could still be served in time. */
    @Test(dataProvider = "fleets")
    public void comeBackAsksAtALowerRateThanAFirstRequest(int engines) {
        double first = rate(engines, RetryStage.FIRST);
        double back = rate(engines, RetryStage.RETURNING);
        assertTrue(back < first / 2, back + " asks in a ms against " + first);
    }

    @Test
    public void pausesGrowUpToTheLongest() {
        ReservePacing pacing = new ReservePacing();
        ReservationWait search = ReservationWait.begin(0, TERMS, RetryStage.FIRST);
        assertEquals(pacing.pauseMillis(search, 0), RetryStage.SHORT_PAUSE_MILLIS);
        assertEquals(pacing.pauseMillis(search, 0), 2 * RetryStage.SHORT_PAUSE_MILLIS);
        assertEquals(pacing.pauseMillis(search, 0), ReservePacing.LONGEST_PAUSE_MILLIS);
        assertEquals(pacing.pauseMillis(search, 0), ReservePacing.LONGEST_PAUSE_MILLIS);
    }

    private static double rate(int engines, RetryStage stage) {
        return (double) asks(engines, stage) / ReservationWait.begin(0, TERMS, stage).waitMillis();
    }

    private static int asks(int engines, RetryStage stage) {
        ReservationWait search = ReservationWait.begin(0, TERMS, stage);
        ReservePacing pacing = new ReservePacing();
        long[] fullUntil = new long[engines];
        long now = 0;
        int asks = 0;
        while (true) {
            int engine = pacing.pauseIsDue() ? -1 : free(fullUntil, now);
            if (engine >= 0) {
                now += ASK_MILLIS;
                asks++;
                fullUntil[engine] = now + FULL_MILLIS;
                pacing.rejected();
            } else if (!search.mayRetry(now)) {
                return asks;
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
