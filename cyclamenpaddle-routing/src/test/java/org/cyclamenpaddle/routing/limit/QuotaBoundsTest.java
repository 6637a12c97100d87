package org.cyclamenpaddle.routing.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how the excess over a limit is divided. */
public class QuotaBoundsTest {

    private static final double WINDOW = 8;
    private static final double HOT_FACTOR = 6;
    private static final double ENTRY_SECONDS = 0.8;

    @DataProvider
    public Object[][] limits() {
        return new Object[][] {
            {new QuotaBounds(WINDOW, 0.1, 190_000), new QuotaLimit(84_000, 84_000)},
            {new QuotaBounds(WINDOW, 0.1, 190_000), new QuotaLimit(47_000, 47_000)},
            {new QuotaBounds(WINDOW, 0.1, 190_000), new QuotaLimit(1_000, 1_000)},
            {new QuotaBounds(WINDOW, 0.1, 0), new QuotaLimit(84_000, 84_000)},
            {new QuotaBounds(WINDOW, 0.1, 0), new QuotaLimit(84_000, 0)},
            {new QuotaBounds(WINDOW, 0, 0), new QuotaLimit(84_000, 84_000)},
            {new QuotaBounds(WINDOW, 0, 190_000), new QuotaLimit(84_000, 0)},
        };
    }

    /** Failure: the parts of the excess add up to more than the bound. */
    @Test(dataProvider = "limits")
    public void partsStayWithinTheBound(QuotaBounds bounds, QuotaLimit limit) {
        double lent =
                bounds.capacity(limit)
                        + (limit.unitsPerSecond() + bounds.beyondPerSecond(limit)) * WINDOW;
        double entered =
                bounds.entryProbability(limit, 5_600, Integer.MAX_VALUE)
                        * limit.unitsPerSecond()
                        * HOT_FACTOR
                        * ENTRY_SECONDS;
        double all = lent + bounds.advanceUnits(limit) + bounds.startUnits(limit) + entered;
        assertTrue(all <= bounds.mostInWindow(limit), all + " of " + bounds.mostInWindow(limit));
    }

    /** Failure: hosts admit generations of a large team as if each of them were alone. */
    @Test
    public void fewerRequestsEnterIfTheyCostMore() {
        QuotaBounds bounds = new QuotaBounds(WINDOW, 0.1, 190_000);
        QuotaLimit limit = new QuotaLimit(47_000, 47_000);
        assertEquals(bounds.entryProbability(limit, 200, 77), 1.0);
        double generations = bounds.entryProbability(limit, 5_600, 77);
        assertTrue(generations > 0.1 && generations < 0.2, "probability " + generations);
        assertEquals(new QuotaBounds(WINDOW, 0, 0).entryProbability(limit, 200, 77), 0.0);
    }
}
