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
     * Callers send lost bookings again elsewhere; none may run twice or be called not run wrongly.
     */
    @Test(dataProvider = "seeds")
    public void runsEachKeyAtMostOnce(long seed, int keys) {
        BookingRun run = new BookingRun(4, 16, RunOptions.seed(seed));

        run.bookings(RunOptions.length(keys));

        Reporter.log(run.mReplies + " " + run.mRefusals + " ran " + run.mRan, true);
        assertTrue(run.mRan > keys / 2, "too few ran: " + run.mRan);
        assertTrue(run.mRefusals.containsKey(RefusalReason.PLATFORM_AWAY), "no outage was met");
        assertTrue(run.mRefusals.containsKey(RefusalReason.CLAIM_UNREADABLE), "nothing was lost");
    }
}
