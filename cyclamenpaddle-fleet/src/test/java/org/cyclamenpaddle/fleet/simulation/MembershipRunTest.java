package org.cyclamenpaddle.fleet.simulation;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class MembershipRunTest {

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{6, 2, 1L}, {9, 4, 2L}, {40, 4, 3L}};
    }

    /** Hosts die, pause, restart and lose each other; views must be right again after each. */
    @Test(dataProvider = "fleets")
    public void viewsConvergeAfterEachFault(int hosts, int domains, long seed) {
        MembershipRun run = new MembershipRun(hosts, domains, seed);
        long start = System.nanoTime();
        run.rounds(40);
        System.out.println(
                hosts
                        + " "
                        + run.slowestDetection()
                        + " "
                        + run.messagesPerHostSecond(20)
                        + " "
                        + (System.nanoTime() - start) / 1_000_000);
    }
}
