package org.cyclamenpaddle.routing.reservation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.OptionalLong;
import org.testng.annotations.Test;

/** Tests the retry delay of rejected callers. */
public class CallerRetryDelayTest {

    private static final CallerLimits LIMITS = new CallerLimits(900, 3_600);

    /**
     * Longer generations give longer delays: a caller that returns earlier finds the same engines
     * full.
     */
    @Test
    public void waitFollowsHowLongGenerationsTake() {
        assertEquals(CallerRetryDelay.minMillis(5_000, LIMITS), 3_000);
        assertEquals(CallerRetryDelay.minMillis(1_000, LIMITS), 600);
    }

    /** Before any generation has ended, the delay stays below the silence timeout. */
    @Test
    public void firstWaitIsBelowSilenceTimeout() {
        long min = CallerRetryDelay.minMillis(0, LIMITS);
        assertTrue(min > 0 && min < LIMITS.silenceMillis(), "delay " + min);
    }

    /**
     * A returning caller leaves free memory for others until the end of its wait; other requests
     * never do.
     */
    @Test
    public void onlyReturningCallersLeaveHeadroomExceptAtEndOfWait() {
        ReservationWait returning = ReservationWait.begin(0, LIMITS, RetryStage.RETURNING);
        assertTrue(returning.leavesHeadroom(0));
        assertTrue(!returning.leavesHeadroom(returning.waitMillis() - 1));
        assertTrue(!ReservationWait.begin(0, LIMITS, RetryStage.FIRST).leavesHeadroom(0));
        assertTrue(!ReservationWait.begin(0, LIMITS, RetryStage.RETRY).leavesHeadroom(0));
    }

    /**
     * Large returning requests once left as much free memory again as they needed, and found no
     * engine.
     */
    @Test
    public void largeRequestLeavesHeadroomOfAverageRequest() {
        ReservationWait returning = ReservationWait.begin(0, LIMITS, RetryStage.RETURNING);
        assertEquals(returning.headroomTokens(0, 22_000, OptionalLong.of(6_000)), 6_000);
        assertEquals(returning.headroomTokens(0, 2_000, OptionalLong.of(6_000)), 2_000);
        assertEquals(returning.headroomTokens(0, 22_000, OptionalLong.empty()), 22_000);
        assertEquals(
                returning.headroomTokens(
                        returning.waitMillis() - 1, 22_000, OptionalLong.of(6_000)),
                0);
    }
}
