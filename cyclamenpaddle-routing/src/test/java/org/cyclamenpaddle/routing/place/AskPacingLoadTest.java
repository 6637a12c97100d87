package org.cyclamenpaddle.routing.place;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Plays the search of one request while every engine of a fleet is full. */
public class AskPacingLoadTest {

    private static final CallerTerms TERMS = new CallerTerms(900, 3_600);
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
        int asks = asks(engines, Seeker.FIRST);
        assertTrue(asks <= most, asks + " asks before " + engines + " engines");
        assertTrue(asks >= AskPacing.ROUND_ASKS, asks + " asks before " + engines + " engines");
    }

    /** A request that comes back took places from those that could still be served in time. */
    @Test(dataProvider = "fleets")
    public void comeBackAsksAtALowerRateThanAFirstRequest(int engines) {
        double first = rate(engines, Seeker.FIRST);
        double back = rate(engines, Seeker.COME_BACK);
        assertTrue(back < first / 2, back + " asks in a ms against " + first);
    }

    @Test
    public void pausesGrowUpToTheLongest() {
        AskPacing pacing = new AskPacing();
        PlaceSearch search = PlaceSearch.begin(0, TERMS, Seeker.FIRST);
        assertEquals(pacing.pauseMillis(search, 0), Seeker.SHORT_PAUSE_MILLIS);
        assertEquals(pacing.pauseMillis(search, 0), 2 * Seeker.SHORT_PAUSE_MILLIS);
        assertEquals(pacing.pauseMillis(search, 0), AskPacing.LONGEST_PAUSE_MILLIS);
        assertEquals(pacing.pauseMillis(search, 0), AskPacing.LONGEST_PAUSE_MILLIS);
    }

    private static double rate(int engines, Seeker seeker) {
        return (double) asks(engines, seeker) / PlaceSearch.begin(0, TERMS, seeker).waitMillis();
    }

    private static int asks(int engines, Seeker seeker) {
        PlaceSearch search = PlaceSearch.begin(0, TERMS, seeker);
        AskPacing pacing = new AskPacing();
        long[] fullUntil = new long[engines];
        long now = 0;
        int asks = 0;
        while (true) {
            int engine = pacing.pauseIsDue() ? -1 : free(fullUntil, now);
            if (engine >= 0) {
                now += ASK_MILLIS;
                asks++;
                fullUntil[engine] = now + FULL_MILLIS;
                pacing.turnedAway();
            } else if (!search.mayGoOn(now)) {
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
