package org.cyclamenpaddle.routing.retry;

import static org.cyclamenpaddle.routing.Fixtures.SERVICE;
import static org.cyclamenpaddle.routing.Fixtures.random;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.apache.commons.rng.UniformRandomProvider;
import org.testng.annotations.Test;

public class RetryBudgetTest {

    private static final RetryBudget.Settings TENTH = new RetryBudget.Settings(0.1, 0, 5);

    /**
     * Every attempt of ten thousand requests fails, and each failure requests a retry. Without a
     * budget the failing pool would get twice the load.
     */
    @Test
    public void retriesStayWithinShareOfFreshRequests() {
        RetryBudget budget = new RetryBudget(TENTH);
        int retries = 0;
        for (int i = 0; i < 10_000; i++) {
            budget.recordRequest(SERVICE, i);
            retries += budget.tryAcquire(SERVICE, i) ? 1 : 0;
        }
        assertTrue(retries >= 1_000 && retries <= 1_005, "retries " + retries);
    }

    @Test
    public void idleServiceRetriesAtMinimumRate() {
        RetryBudget budget = new RetryBudget(new RetryBudget.Settings(0, 1, 1));
        assertTrue(budget.tryAcquire(SERVICE, 0));
        assertEquals(budget.tryAcquire(SERVICE, 999), false);
        assertTrue(budget.tryAcquire(SERVICE, 1_000));
    }

    @Test
    public void backoffIsBoundedAndSpread() {
        Backoff backoff = new Backoff(10, 100);
        UniformRandomProvider random = random(1);
        long max = 0;
        long sum = 0;
        for (int i = 0; i < 1_000; i++) {
            long wait = backoff.waitMillis(60, random);
            max = Math.max(max, wait);
            sum += wait;
        }
        assertEquals(max, 100);
        assertTrue(sum > 40_000 && sum < 60_000, "sum " + sum);
    }

    /**
     * The capacity shrinks while more than the new one is accumulated: only the new capacity
     * remains.
     */
    @Test
    public void adjustedBudgetIsCappedAtNewCapacity() {
        RetryBudget budget = new RetryBudget(TENTH);
        assertEquals(budget.remaining(SERVICE, 0), 5.0);
        budget.adjust(new RetryBudget.Settings(0.1, 0, 2));
        assertEquals(budget.remaining(SERVICE, 0), 2.0);
    }

    /**
     * Searches for a second server that find none use up the budget, or leave more than it holds.
     */
    @Test
    public void unusedRetryIsPutBackUpToTheCapacity() {
        RetryBudget budget = new RetryBudget(TENTH);
        assertTrue(budget.tryAcquire(SERVICE, 0));
        assertEquals(budget.remaining(SERVICE, 0), 4.0);
        budget.putBack(SERVICE, 1);
        assertEquals(budget.remaining(SERVICE, 1), 5.0);
        budget.putBack(SERVICE, 2);
        assertEquals(budget.remaining(SERVICE, 2), 5.0);
    }
}
