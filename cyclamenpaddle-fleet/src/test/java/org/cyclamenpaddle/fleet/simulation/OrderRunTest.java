package org.cyclamenpaddle.fleet.simulation;

import static org.testng.Assert.assertTrue;

import org.cyclamenpaddle.core.config.FencingSupport;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class OrderRunTest {

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {
            {FencingSupport.HONOURS, 31L},
            {FencingSupport.HONOURS, 32L},
            {FencingSupport.IGNORES, 33L},
            {FencingSupport.IGNORES, 34L}
        };
    }

    /**
     * Two hosts compete for one engine; it must reach the desired setup and never execute a stale
     * order after a newer one.
     */
    @Test(dataProvider = "seeds")
    public void engineReachesDesiredSetup(FencingSupport fencing, long seed) {
        OrderRun run = new OrderRun(fencing, RunOptions.seed(seed));

        for (int i = 0; i < RunOptions.length(100); i++) {
            run.steps(60);
        }

        assertTrue(run.orders() > 100, "too few orders: " + run.orders());
        assertTrue(
                fencing == FencingSupport.IGNORES || run.rejected() > 0,
                "no stale order was rejected");
    }
}
