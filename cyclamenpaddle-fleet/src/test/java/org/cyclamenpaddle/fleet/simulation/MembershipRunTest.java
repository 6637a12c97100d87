package org.cyclamenpaddle.fleet.simulation;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class MembershipRunTest {

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{6, 2, 1L, 30}, {9, 4, 2L, 30}, {40, 4, 3L, 3}};
    }

    /** Hosts die, pause, restart and are partitioned; all views must converge after each fault. */
    @Test(dataProvider = "fleets")
    public void viewsConvergeAfterEachFault(int hosts, int domains, long seed, int rounds) {
        MembershipRun run = new MembershipRun(hosts, domains, RunOptions.seed(seed));

        run.rounds(RunOptions.length(rounds));
    }

    /**
     * In a large fleet most hosts are watched from inside their own domain. When a domain is
     * partitioned, the few outside hosts that watch one of its hosts must trigger the detection of
     * the others.
     */
    @Test
    public void largeFleetDetectsPartitionOfADomain() {
        new MembershipRun(40, 4, RunOptions.seed(4)).round(MembershipRun.Fault.PARTITION);
    }
}
