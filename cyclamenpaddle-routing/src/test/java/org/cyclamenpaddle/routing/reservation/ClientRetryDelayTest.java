package org.cyclamenpaddle.routing.reservation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.OptionalLong;
import org.testng.annotations.Test;

/** Tests when callers that found no place are asked to come back. */
public class ClientRetryDelayTest {

    private static final CallerLimits TERMS = new CallerLimits(900, 3_600);

    /** Callers of long generations wait longer: sooner they would meet the same full engines. */
    @Test
    public void waitFollowsHowLongGenerationsTake() {
        assertEquals(ClientRetryDelay.minMillis(5_000, TERMS), 3_000);
        assertEquals(ClientRetryDelay.minMillis(1_000, TERMS), 600);
    }

    /** With nothing seen yet, the wait stays within the silence that callers bear. */
    @Test
    public void firstWaitFollowsTheRoute() {
        long least = ClientRetryDelay.minMillis(0, TERMS);
        assertTrue(least > 0 && least < TERMS.silenceMillis(), "least " + least);
    }

    /** A come-back leaves room for others until the end of its wait; a first request never. */
    @Test
    public void onlyComeBacksLeaveRoomAndNotAtTheirEnd() {
        ReservationWait back = ReservationWait.begin(0, TERMS, RetryStage.RETURNING);
        assertTrue(back.yields(0));
        assertTrue(!back.yields(back.waitMillis() - 1));
        assertTrue(!ReservationWait.begin(0, TERMS, RetryStage.FIRST).yields(0));
        assertTrue(!ReservationWait.begin(0, TERMS, RetryStage.RETRY).yields(0));
    }

    /** Large requests that came back left as much again as they needed, and found no engine. */
    @Test
    public void largeRequestLeavesRoomForAUsualOneOnly() {
        ReservationWait back = ReservationWait.begin(0, TERMS, RetryStage.RETURNING);
        assertEquals(back.headroomTokens(0, 22_000, OptionalLong.of(6_000)), 6_000);
        assertEquals(back.headroomTokens(0, 2_000, OptionalLong.of(6_000)), 2_000);
        assertEquals(back.headroomTokens(0, 22_000, OptionalLong.empty()), 22_000);
        assertEquals(back.headroomTokens(back.waitMillis() - 1, 22_000, OptionalLong.of(6_000)), 0);
    }
}
