package org.cyclamenpaddle.routing.place;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests what a caller's remaining wait says of its history. */
public class CallerWaitsTest {

    private static final String ROUTE = "r-1";

    /** First waits spread by a seventh; none of them may be taken for a come-back. */
    @Test
    public void firstWaitsOfDifferentCallersAreNoComeBacks() {
        CallerWaits waits = new CallerWaits();
        for (long wait = 12_000; wait < 14_000; wait += 50) {
            assertFalse(waits.comesBack(ROUTE, wait, wait), "first wait of " + wait);
        }
        assertFalse(waits.comesBack(ROUTE, 12_000, 14_000));
    }

    @Test
    public void callerThatWasToldToComeBackIsKnownByWhatItHasSpent() {
        CallerWaits waits = new CallerWaits();
        waits.comesBack(ROUTE, 14_000, 0);
        long spent = PlaceSearch.COME_BACK_MILLIS + 480;
        assertTrue(waits.comesBack(ROUTE, 14_000 - spent, spent));
    }

    @Test
    public void routesAreJudgedApart() {
        CallerWaits waits = new CallerWaits();
        waits.comesBack(ROUTE, 14_000, 0);
        assertFalse(waits.comesBack("r-2", 3_000, 1));
    }

    /** Callers of a route become less patient for good: they must not count as come-backs. */
    @Test
    public void longerWaitsOfBeforeAreForgotten() {
        CallerWaits waits = new CallerWaits();
        waits.comesBack(ROUTE, 14_000, 0);
        assertTrue(waits.comesBack(ROUTE, 8_000, 1_000));
        assertTrue(waits.comesBack(ROUTE, 8_000, CallerWaits.KEPT_MILLIS));
        assertFalse(waits.comesBack(ROUTE, 8_000, 2 * CallerWaits.KEPT_MILLIS));
    }
}
