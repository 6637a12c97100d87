package org.cyclamenpaddle.routing.reservation;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests how a caller's remaining wait shows whether it is returning. */
public class ReturningCallersTest {

    private static final String ROUTE = "r-1";

    /** Minimum time that a first attempt and the retry delay take. */
    private static final long SPENT_MILLIS =
            ReservationWait.begin(0, new CallerLimits(900, 3_600), RetryStage.FIRST).waitMillis()
                    + CallerRetryDelay.minMillis(0, new CallerLimits(900, 3_600));

    /** Initial waits vary by a seventh; none of them may count as returning. */
    @Test
    public void firstWaitsOfDifferentCallersAreNotReturning() {
        ReturningCallers callers = new ReturningCallers();
        for (long wait = 12_000; wait < 14_000; wait += 50) {
            assertFalse(
                    callers.isReturning(ROUTE, wait, SPENT_MILLIS, wait), "first wait of " + wait);
        }
        assertFalse(callers.isReturning(ROUTE, 12_000, SPENT_MILLIS, 14_000));
    }

    @Test
    public void rejectedCallerIsRecognizedByTimeSpent() {
        ReturningCallers callers = new ReturningCallers();
        callers.isReturning(ROUTE, 14_000, SPENT_MILLIS, 0);
        long spent = 2_680;
        assertTrue(callers.isReturning(ROUTE, 14_000 - spent, SPENT_MILLIS, spent));
    }

    @Test
    public void routesAreIndependent() {
        ReturningCallers callers = new ReturningCallers();
        callers.isReturning(ROUTE, 14_000, SPENT_MILLIS, 0);
        assertFalse(callers.isReturning("r-2", 3_000, SPENT_MILLIS, 1));
    }

    /** Callers of a route wait less from now on: they must not count as returning. */
    @Test
    public void oldLongerWaitsExpire() {
        ReturningCallers callers = new ReturningCallers();
        callers.isReturning(ROUTE, 14_000, SPENT_MILLIS, 0);
        assertTrue(callers.isReturning(ROUTE, 8_000, SPENT_MILLIS, 1_000));
        assertTrue(
                callers.isReturning(ROUTE, 8_000, SPENT_MILLIS, ReturningCallers.RETENTION_MILLIS));
        assertFalse(
                callers.isReturning(
                        ROUTE, 8_000, SPENT_MILLIS, 2 * ReturningCallers.RETENTION_MILLIS));
    }
}
