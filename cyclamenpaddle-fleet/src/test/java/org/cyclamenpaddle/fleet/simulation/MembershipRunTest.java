package org.cyclamenpaddle.fleet.simulation;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class MembershipRunTest {

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{6, 2, 1L, 30}, {9, 4, 2L, 30}, {40, 4, 3L, 8}};
    }

    /** Hosts die, pause, restart and lose each other; views must be right again after each. */
    @Test(dataProvider = "fleets")
    public void viewsConvergeAfterEachFault(int hosts, int domains, long seed, int rounds) {
        MembershipRun run = new MembershipRun(hosts, domains, RunOptions.seed(seed));

        run.rounds(RunOptions.length(rounds));
    }
}
