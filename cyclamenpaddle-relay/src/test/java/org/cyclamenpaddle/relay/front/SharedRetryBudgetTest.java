package org.cyclamenpaddle.relay.front;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.time.VirtualClock;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that all hosts together stay within the deployment's budget of repeats. */
public class SharedRetryBudgetTest {

    private static final ServiceName SERVICE = new ServiceName("s");
    private static final double SHARE = 0.2;
    private static final long WINDOW_MILLIS = 10_000;

    @DataProvider
    public Object[][] deployments() {
        return new Object[][] {{6, 52L}, {9, 58L}, {71, 182L}, {64, 168L}};
    }

    /**
     * Every request fails and every host repeats as often as it may, for a minute, with a burst of
     * requests in the middle. No window of ten seconds holds more repeats than the budget grants.
     */
    @Test(dataProvider = "deployments")
    public void allHostsStayWithinTheBudget(int hosts, long slack) {
        VirtualClock clock = new VirtualClock(0);
        List<SharedRetryBudget> budgets =
                IntStream.range(0, hosts)
                        .mapToObj(i -> new SharedRetryBudget(SHARE, slack, WINDOW_MILLIS, clock))
                        .toList();
        budgets.forEach(budget -> budget.updateHostCount(hosts));
        Random random = new Random(5);
        int steps = 600;
        int[] requests = new int[steps];
        int[] repeats = new int[steps];
        for (int step = 0; step < steps; step++) {
            clock.advance(100);
            requests[step] = step > 250 && step < 300 ? 12 : 4;
            for (int i = 0; i < requests[step]; i++) {
                budgets.get(random.nextInt(hosts)).recordRequest(SERVICE);
            }
            for (SharedRetryBudget budget : budgets) {
                while (budget.tryTake(SERVICE)) {
                    repeats[step]++;
                }
            }
        }
        for (int end = 100; end <= steps; end++) {
            int asked = IntStream.range(end - 100, end).map(i -> requests[i]).sum();
            int repeated = IntStream.range(end - 100, end).map(i -> repeats[i]).sum();
            double granted = SHARE * asked + slack;
            assertTrue(repeated <= granted, repeated + " repeats, granted " + granted);
        }
    }

    /** Before the hosts are counted, a hundred of them together spend no more than the slack. */
    @Test
    public void uncountedHostsSpendLittle() {
        SharedRetryBudget budget =
                new SharedRetryBudget(SHARE, 52, WINDOW_MILLIS, new VirtualClock(0));
        assertTrue(budget.tryTake(SERVICE));
        assertEquals(budget.tryTake(SERVICE), false);
    }
}
