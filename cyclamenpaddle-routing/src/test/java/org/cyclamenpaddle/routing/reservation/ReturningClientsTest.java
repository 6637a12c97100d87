package org.cyclamenpaddle.routing.reservation;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests what a caller's remaining wait says of its history. */
public class ReturningClientsTest {

    private static final String ROUTE = "r-1";

    /** Least time that a first try and the wait after it take. */
    private static final long SPENT =
            ReservationWait.begin(0, new CallerLimits(900, 3_600), RetryStage.FIRST).waitMillis()
                    + ClientRetryDelay.minMillis(0, new CallerLimits(900, 3_600));

    /** First waits spread by a seventh; none of them may be taken for a come-back. */
    @Test
    public void firstWaitsOfDifferentCallersAreNoComeBacks() {
        ReturningClients waits = new ReturningClients();
        for (long wait = 12_000; wait < 14_000; wait += 50) {
            assertFalse(waits.isReturning(ROUTE, wait, SPENT, wait), "first wait of " + wait);
        }
        assertFalse(waits.isReturning(ROUTE, 12_000, SPENT, 14_000));
    }

    @Test
    public void callerThatWasToldToComeBackIsKnownByWhatItHasSpent() {
        ReturningClients waits = new ReturningClients();
        waits.isReturning(ROUTE, 14_000, SPENT, 0);
        long spent = 2_680;
        assertTrue(waits.isReturning(ROUTE, 14_000 - spent, SPENT, spent));
    }

    @Test
    public void routesAreJudgedApart() {
        ReturningClients waits = new ReturningClients();
        waits.isReturning(ROUTE, 14_000, SPENT, 0);
        assertFalse(waits.isReturning("r-2", 3_000, SPENT, 1));
    }

    /** Callers of a route become less patient for good: they must not count as come-backs. */
    @Test
    public void longerWaitsOfBeforeAreForgotten() {
        ReturningClients waits = new ReturningClients();
        waits.isReturning(ROUTE, 14_000, SPENT, 0);
        assertTrue(waits.isReturning(ROUTE, 8_000, SPENT, 1_000));
        assertTrue(waits.isReturning(ROUTE, 8_000, SPENT, ReturningClients.KEPT_MILLIS));
        assertFalse(waits.isReturning(ROUTE, 8_000, SPENT, 2 * ReturningClients.KEPT_MILLIS));
    }
}
