package org.cyclamenpaddle.routing.stream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Load: streams are taken up at other hosts during rollouts, with hosts killed and notices lost.
 */
public class StreamLoadTest {

    private static final int SEEDS = 4;

    /** Share of the streams that are to go on while their version serves. */
    private static final double TARGET = 0.95;

    /** Share of the hosts that are killed once in 40 s. */
    private static final double KILLED_SHARE = 0.3;

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{6, 4}, {67, 4}, {94, 5}, {410, 6}};
    }

    private static List<StreamModel.Result> run(StreamModel.Way way, int hosts, int domains) {
        return LongStream.range(0, SEEDS)
                .mapToObj(seed -> new StreamModel(way, hosts, domains, seed).run(KILLED_SHARE))
                .toList();
    }

    /** Streams go on at another version, or fewer go on than callers may expect. */
    @Test(dataProvider = "fleets")
    public void streamsGoOnAtTheirVersion(int hosts, int domains) {
        for (StreamModel.Result result : run(StreamModel.Way.OWNERS, hosts, domains)) {
            assertEquals(result.mixed(), 0, hosts + " hosts: " + result);
            assertTrue(result.share() >= TARGET, hosts + " hosts: " + result);
        }
    }

    /** The other way that was weighed is taken for safe, since the model cannot show a mix. */
    @Test(dataProvider = "fleets")
    public void versionThatFollowsFromTheIdAloneMixes(int hosts, int domains) {
        int mixed =
                run(StreamModel.Way.FROM_THE_ID, hosts, domains).stream()
                        .mapToInt(StreamModel.Result::mixed)
                        .sum();
        assertTrue(mixed > 0, hosts + " hosts: none mixed");
    }
}
