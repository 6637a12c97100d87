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

    /** Two hosts race for one engine; it must end as asked and never obey the older one last. */
    @Test(dataProvider = "seeds")
    public void engineEndsAsAsked(FencingSupport fencing, long seed) {
        OrderRun run = new OrderRun(fencing, RunOptions.seed(seed));

        for (int i = 0; i < RunOptions.length(100); i++) {
            run.steps(60);
        }

        assertTrue(run.orders() > 100, "too few orders: " + run.orders());
        assertTrue(
                fencing == FencingSupport.IGNORES || run.refused() > 0, "no stale order was met");
    }
}
