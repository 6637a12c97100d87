package org.cyclamenpaddle.relay.directive;

import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.cyclamenpaddle.relay.directive.SharedLimitModel.Result;
import org.cyclamenpaddle.relay.directive.SharedLimitModel.Scenario;
import org.cyclamenpaddle.relay.directive.SharedLimitModel.Sharing;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Load pattern: all hosts have several times as many requests for one server as its limit allows,
 * some of them far more than others.
 */
public class SharedLimitLoadTest {

    private static final long SEEDS = 20;

    /**
     * Least share of a limit in use: the owner lends 0.85 of it, and the model loses at most the
     * half of the permits that are requested in advance.
     */
    private static final double LEAST_USED = 0.85 / 2;

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {
            {6, 0.2}, {6, 1.4}, {6, 20.0},
            {67, 0.2}, {67, 1.4}, {67, 20.0},
            {410, 0.2}, {410, 1.4}, {410, 20.0},
        };
    }

    private static List<Result> runs(
            Sharing sharing, int hosts, double perSecond, int restarts, double deputyShare) {
        return LongStream.range(0, SEEDS)
                .mapToObj(seed -> new Scenario(hosts, perSecond, restarts, deputyShare, seed))
                .map(scenario -> SharedLimitModel.run(sharing, scenario))
                .toList();
    }

    private static int most(List<Result> results) {
        return results.stream().mapToInt(Result::most).max().orElse(0);
    }

    private static void assertWithinBound(List<Result> results, double perSecond) {
        int most = most(results);
        int allowed = SharedLimitModel.allowed(perSecond);
        assertTrue(most <= allowed, most + " calls within a window, allowed " + allowed);
    }

    /** The parts of all hosts, each rounded up to one call, add up to several times the limit. */
    @Test(dataProvider = "fleets")
    public void sumOverAllHostsStaysWithinTheLimit(int hosts, double perSecond) {
        assertWithinBound(runs(Sharing.PERMITS, hosts, perSecond, 0, 0), perSecond);
    }

    /** The owner of the limit forgets with each restart what it has permitted. */
    @Test(dataProvider = "fleets")
    public void restartsDoNotExceedTheLimit(int hosts, double perSecond) {
        assertWithinBound(runs(Sharing.PERMITS, hosts, perSecond, 3, 0), perSecond);
    }

    /** The owner and the deputy restart every 0.4 s, and each lends its whole bucket again. */
    @Test(dataProvider = "fleets")
    public void restartsInSeriesDoNotExceedTheLimit(int hosts, double perSecond) {
        assertWithinBound(runs(Sharing.PERMITS, hosts, perSecond, 300, 0.4), perSecond);
    }

    /** Hosts that do not reach the owner, or list other hosts, use the limit a second time. */
    @Test(dataProvider = "fleets")
    public void deputyBesideTheOwnerDoesNotExceedTheLimit(int hosts, double perSecond) {
        assertWithinBound(runs(Sharing.PERMITS, hosts, perSecond, 0, 0.4), perSecond);
    }

    /** Hosts with little demand keep parts of the limit that others could use. */
    @Test(dataProvider = "fleets")
    public void largePartOfTheLimitIsUsed(int hosts, double perSecond) {
        double used =
                runs(Sharing.PERMITS, hosts, perSecond, 0, 0).stream()
                        .mapToDouble(Result::usedShare)
                        .average()
                        .orElse(0);
        assertTrue(used >= LEAST_USED, "used share of the limit: " + used);
    }

    /** Shows that the load distinguishes sharing from hosts that each keep an equal part. */
    @Test
    public void equalPartsExceedTheLimitOnManyHosts() {
        int most = most(runs(Sharing.EQUAL_PARTS, 67, 1.4, 0, 0));
        assertTrue(most > SharedLimitModel.allowed(1.4), most + " calls within a window");
    }
}
