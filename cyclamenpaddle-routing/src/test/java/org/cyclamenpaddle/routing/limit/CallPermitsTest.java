package org.cyclamenpaddle.routing.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests the bucket of permits for one limited server. */
public class CallPermitsTest {

    private static int granted(CallPermits permits, double perSecond, long from, long to) {
        int granted = 0;
        for (long millis = from; millis < to; millis += 10) {
            granted += permits.take(1, perSecond, true, millis).granted() ? 1 : 0;
        }
        return granted;
    }

    @Test
    public void rateStaysBelowTheLimit() {
        int granted = granted(new CallPermits(0), 10, 0, 20_000);
        assertTrue(granted <= 10 * 20 * 0.9 && granted > 10 * 20 * 0.8, granted + " granted");
    }

    /** A host that has not received the lower limit yet raises the rate for all others. */
    @Test
    public void lowestRecentLimitApplies() {
        CallPermits permits = new CallPermits(0);
        granted(permits, 20, 0, 2_000);
        int granted = 0;
        for (long millis = 2_000; millis < 12_000; millis += 20) {
            granted += permits.take(1, 1, true, millis).granted() ? 1 : 0;
            granted += permits.take(1, 20, true, millis + 10).granted() ? 1 : 0;
        }
        assertTrue(granted <= 20, granted + " granted in ten seconds at one call a second");
    }

    @Test
    public void higherLimitAppliesAfterSomeTime() {
        CallPermits permits = new CallPermits(0);
        granted(permits, 1, 0, 10_000);
        granted(permits, 20, 10_000, 16_000);
        assertTrue(granted(permits, 20, 16_000, 20_000) > 50);
    }

    /** A limit of 0 stops all calls, and nothing learns that it has ended. */
    @Test
    public void limitOfZeroPermitsRareCalls() {
        int granted = granted(new CallPermits(0), 0, 0, 300_000);
        assertTrue(granted >= 10 && granted <= 20, granted + " granted in 300 s");
    }

    /** All hosts that were denied ask again at the same moment. */
    @Test
    public void deniedHostsReturnOneAfterTheOther() {
        CallPermits permits = new CallPermits(0);
        assertTrue(permits.take(2, 4, true, 0).granted());
        long first = permits.take(1, 4, true, 0).retryMillis();
        long second = permits.take(1, 4, true, 0).retryMillis();
        assertTrue(first > 0 && second >= first + 250, first + " and " + second + " ms");
        assertFalse(permits.take(1, 4, true, first - 10).granted());
        assertTrue(permits.take(1, 4, true, first).granted());
        for (int i = 0; i < 1_000; i++) {
            assertTrue(
                    permits.take(1, 4, true, first).retryMillis() <= CallPermits.MAX_RETRY_MILLIS);
        }
    }

    @Test
    public void bothCallsOfAGenerationArePermittedTogether() {
        CallPermits permits = new CallPermits(0);
        assertTrue(permits.take(2, 1, true, 0).granted());
        assertFalse(permits.take(2, 1, true, 1_200).granted());
        assertEquals(permits.take(2, 1, true, 2_400), new CallPermits.Result(true, 0));
    }
}
