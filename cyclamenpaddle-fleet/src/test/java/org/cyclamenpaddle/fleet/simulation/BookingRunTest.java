package org.cyclamenpaddle.fleet.simulation;

import static org.testng.Assert.assertTrue;

import org.cyclamenpaddle.core.outcome.RefusalReason;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class BookingRunTest {

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{11L, 5_000}, {77L, 5_000}};
    }

    /**
     * Callers resend lost bookings through other hosts; no booking may run twice or be falsely
     * reported as not run.
     */
    @Test(dataProvider = "seeds")
    public void runsEachKeyAtMostOnce(long seed, int keys) {
        BookingRun run = new BookingRun(4, 16, RunOptions.seed(seed));

        run.bookings(RunOptions.length(keys));

        Reporter.log(run.mReplies + " " + run.mRefusals + " ran " + run.mCallsRun, true);
        assertTrue(run.mCallsRun > keys / 2, "too few ran: " + run.mCallsRun);
        assertTrue(
                run.mRefusals.containsKey(RefusalReason.PLATFORM_AWAY),
                "no platform outage occurred");
        assertTrue(
                run.mRefusals.containsKey(RefusalReason.CLAIM_UNREADABLE),
                "no host's records were lost");
    }
}
