package org.cyclamenpaddle.routing.reservation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.OptionalLong;
import org.testng.annotations.Test;

/** Tests when callers that found no place are asked to come back. */
public class ClientRetryDelayTest {

    private static final CallerTerms TERMS = new CallerTerms(900, 3_600);

    /** Callers of long generations wait longer: sooner they would meet the same full engines. */
    @Test
    public void waitFollowsHowLongGenerationsTake() {
        assertEquals(ClientRetryDelay.leastMillis(5_000, TERMS), 3_000);
        assertEquals(ClientRetryDelay.leastMillis(1_000, TERMS), 600);
    }

    /** With nothing seen yet, the wait stays within the silence that callers bear. */
    @Test
    public void firstWaitFollowsTheRoute() {
        long least = ClientRetryDelay.leastMillis(0, TERMS);
        assertTrue(least > 0 && least < TERMS.silenceMillis(), "least " + least);
    }

    /** A come-back leaves room for others until the end of its wait; a first request never. */
    @Test
    public void onlyComeBacksLeaveRoomAndNotAtTheirEnd() {
        ReservationWait back = ReservationWait.begin(0, TERMS, RetryStage.COME_BACK);
        assertTrue(back.yields(0));
        assertTrue(!back.yields(back.waitMillis() - 1));
        assertTrue(!ReservationWait.begin(0, TERMS, RetryStage.FIRST).yields(0));
        assertTrue(!ReservationWait.begin(0, TERMS, RetryStage.REPEAT).yields(0));
    }

    /** Large requests that came back left as much again as they needed, and found no engine. */
    @Test
    public void largeRequestLeavesRoomForAUsualOneOnly() {
        ReservationWait back = ReservationWait.begin(0, TERMS, RetryStage.COME_BACK);
        assertEquals(back.tokensLeft(0, 22_000, OptionalLong.of(6_000)), 6_000);
        assertEquals(back.tokensLeft(0, 2_000, OptionalLong.of(6_000)), 2_000);
        assertEquals(back.tokensLeft(0, 22_000, OptionalLong.empty()), 22_000);
        assertEquals(back.tokensLeft(back.waitMillis() - 1, 22_000, OptionalLong.of(6_000)), 0);
    }
}
