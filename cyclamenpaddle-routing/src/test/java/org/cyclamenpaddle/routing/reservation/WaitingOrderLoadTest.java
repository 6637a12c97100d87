package org.cyclamenpaddle.routing.reservation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cyclamenpaddle.routing.reservation.WaitingOrderModel.Burst;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Simulates bursts of 1.6 to 2.4 times the usual load, for 4 to 6 s, of three classes that share 33
 * decode engines. The engines hold about 240 generations, which are about 60 new ones per second; a
 * burst brings 52 to 78.
 */
public class WaitingOrderLoadTest {

    private static final int SEEDS = 6;
    private static final long[] BURST_STARTS = {6_000, 22_000};

    /** Runs by number of hosts and order; several tests examine the same ones. */
    private final Map<List<Object>, List<WaitingOrderModel>> mRuns = new ConcurrentHashMap<>();

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{6}, {77}, {94}, {410}};
    }

    /**
     * Guards the reason for the order: where all requests wait by the same rules, those with the
     * shortest target have the shortest wait, and memory that becomes free goes to others.
     */
    @Test(dataProvider = "fleets")
    public void withoutOrderTheShortestTargetIsServedWorst(int hosts) {
        List<WaitingOrderModel> runs = runs(hosts, false);
        double first = inTimeInBursts(runs, 0);
        assertTrue(first < inTimeInBursts(runs, 1), "in time " + first);
        assertTrue(first < inTimeInBursts(runs, 2), "in time " + first);
    }

    /**
     * Failure: a burst makes the most valuable requests late, while less urgent ones are served.
     */
    @Test(dataProvider = "fleets")
    public void mostUrgentClassIsInTimeAsOftenAsAnyOtherInEveryBurst(int hosts) {
        for (WaitingOrderModel run : runs(hosts, true)) {
            for (int burst = 0; burst < BURST_STARTS.length; burst++) {
                double first = run.inBurst(0, burst).inTimeShare();
                double second = run.inBurst(1, burst).inTimeShare();
                double third = run.inBurst(2, burst).inTimeShare();
                assertTrue(
                        first >= Math.max(second, third),
                        "in time " + first + ", " + second + " and " + third);
            }
        }
    }

    /** Failure: what the most urgent class gains costs the others more than it is worth. */
    @Test(dataProvider = "fleets")
    public void valueDoesNotFall(int hosts) {
        double today = value(runs(hosts, false));
        double ordered = value(runs(hosts, true));
        assertTrue(ordered >= today, "value " + ordered + " against " + today);
    }

    /** Failure: the order starves the least urgent class in a burst. */
    @Test(dataProvider = "fleets")
    public void noClassIsServedLessThanAQuarterAsOftenAsAll(int hosts) {
        for (WaitingOrderModel run : runs(hosts, true)) {
            for (int burst = 0; burst < BURST_STARTS.length; burst++) {
                assertNoneStarves(run, burst);
            }
        }
    }

    /**
     * Failure: the most urgent class alone sends five times its usual load, for longer than a burst
     * lasts, and no request of the other classes is served any more.
     */
    @Test
    public void floodOfUrgentRequestsStarvesNoClass() {
        List<RequestClass> flood =
                List.of(
                        new RequestClass(0, 800, 45, 14, 1.1),
                        new RequestClass(1, 1_000, 11.1, 7.2, 1.4),
                        new RequestClass(2, 2_000, 12.7, 3.6, 1.1));
        Burst all = new Burst(0, WaitingOrderModel.RUN_MILLIS, 1);
        WaitingOrderModel run = new WaitingOrderModel(77, flood, List.of(all), true, 1).run();
        assertNoneStarves(run, 0);
        assertTrue(run.all(0).inTimeShare() > run.all(1).inTimeShare());
        for (int each = 1; each < flood.size(); each++) {
            assertTrue(
                    run.all(each).inTimeShare() > run.all().inTimeShare() / 4,
                    "in time " + run.all(each).inTimeShare());
        }
    }

    /** Failure: the order changes how a service is served whose classes have one priority. */
    @Test(dataProvider = "fleets")
    public void classesOfOnePriorityAreServedAsToday(int hosts) {
        List<Burst> bursts = bursts(1);
        WaitingOrderModel today =
                new WaitingOrderModel(hosts, classes(1, 1, 1), bursts, false, 1).run();
        WaitingOrderModel ordered =
                new WaitingOrderModel(hosts, classes(1, 1, 1), bursts, true, 1).run();
        assertEquals(ordered.calls(), today.calls());
        for (int each = 0; each < 3; each++) {
            assertEquals(ordered.all(each).inTimeShare(), today.all(each).inTimeShare());
            assertEquals(ordered.all(each).value(), today.all(each).value());
        }
    }

    private static void assertNoneStarves(WaitingOrderModel run, int burst) {
        List<WaitingOrderTally> tallies =
                IntStream.range(0, 3).mapToObj(each -> run.inBurst(each, burst)).toList();
        double all =
                tallies.stream()
                        .reduce(new WaitingOrderTally(), WaitingOrderTally::plus)
                        .servedShare();
        tallies.forEach(
                each ->
                        assertTrue(
                                each.servedShare() >= all / 4,
                                "served " + each.servedShare() + " of all " + all));
    }

    private static double inTimeInBursts(List<WaitingOrderModel> runs, int requestClass) {
        return runs.stream()
                .flatMap(
                        run ->
                                Stream.of(
                                        run.inBurst(requestClass, 0), run.inBurst(requestClass, 1)))
                .reduce(new WaitingOrderTally(), WaitingOrderTally::plus)
                .inTimeShare();
    }

    private static double value(List<WaitingOrderModel> runs) {
        return runs.stream().mapToDouble(run -> run.all().value()).sum();
    }

    private static List<RequestClass> classes(int first, int second, int third) {
        return List.of(
                new RequestClass(first, 800, 8.65, 14, 1.1),
                new RequestClass(second, 1_000, 11.1, 7.2, 1.4),
                new RequestClass(third, 2_000, 12.7, 3.6, 1.1));
    }

    private List<WaitingOrderModel> runs(int hosts, boolean ordered) {
        return mRuns.computeIfAbsent(
                List.of(hosts, ordered),
                any ->
                        IntStream.range(0, SEEDS)
                                .mapToObj(seed -> model(hosts, ordered, seed).run())
                                .toList());
    }

    private static WaitingOrderModel model(int hosts, boolean ordered, long seed) {
        return new WaitingOrderModel(hosts, classes(0, 1, 2), bursts(seed), ordered, seed);
    }

    private static List<Burst> bursts(long seed) {
        Random random = new Random(seed);
        return Arrays.stream(BURST_STARTS)
                .mapToObj(
                        start ->
                                new Burst(
                                        start,
                                        start + 4_000 + random.nextInt(2_000),
                                        1.6 + 0.8 * random.nextDouble()))
                .toList();
    }
}
