package org.cyclamenpaddle.fleet.simulation;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ConfigurationRunTest {

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{21L}, {22L}, {23L}, {24L}};
    }

    /**
     * Operators write during outages and partitions; no replica reverts to an older version, and
     * all converge.
     */
    @Test(dataProvider = "seeds")
    public void replicasNeverRevertAndConverge(long seed) {
        ConfigurationRun run = new ConfigurationRun(RunOptions.seed(seed));

        for (int i = 0; i < RunOptions.length(5); i++) {
            run.steps(400);
        }
    }
}
