package org.cyclamenpaddle.routing.handover;

import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Load: hosts without paths to the servers get as many callers as the others. */
public class HandoverLoadTest {

    private static final int SEEDS = 2;

    /** Share of first tries at cut hosts that are to be served. */
    private static final double TARGET = 0.95;

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{6, 4, 5.0}, {67, 4, 5.0}, {410, 6, 8.0}};
    }

    private static HandoverModel model(
            HandoverModel.Way way, int hosts, int domains, double perHost, long seed) {
        return new HandoverModel(way, hosts, domains, perHost, seed);
    }

    private static Set<Integer> first(int hosts) {
        return IntStream.range(0, hosts).boxed().collect(Collectors.toSet());
    }

    private static double least(
            int hosts, int domains, double perHost, Set<Integer> cut, HandoverModel.Way way) {
        return IntStream.range(0, SEEDS)
                .mapToDouble(seed -> model(way, hosts, domains, perHost, seed).run(cut).cutServed())
                .min()
                .getAsDouble();
    }

    /** Callers of cut hosts are refused although most hosts reach the servers. */
    @Test(dataProvider = "fleets")
    public void requestsOfCutHostsAreServed(int hosts, int domains, double perHost) {
        Set<Integer> domain =
                model(HandoverModel.Way.HAND_OVER, hosts, domains, perHost, 0).firstDomain();
        for (Set<Integer> cut : Set.of(first(1), first(hosts / 3), domain)) {
            double served = least(hosts, domains, perHost, cut, HandoverModel.Way.HAND_OVER);
            assertTrue(served >= TARGET, served + " served with " + cut.size() + " cut off");
        }
    }

    /** The only host that reaches the servers is not found. */
    @Test
    public void onlyHostOfASmallFleetIsFound() {
        double served = least(6, 4, 5.0, first(5), HandoverModel.Way.HAND_OVER);
        assertTrue(served >= TARGET, "served " + served);
    }

    /** Hosts hand requests round while no host reaches the servers. */
    @Test(dataProvider = "fleets")
    public void nobodyHandsRequestsRound(int hosts, int domains, double perHost) {
        HandoverModel cut = model(HandoverModel.Way.HAND_OVER, hosts, domains, perHost, 1);
        double all = cut.run(first(hosts)).handedOverPerHostAndSecond();
        HandoverModel dead = model(HandoverModel.Way.HAND_OVER, hosts, domains, perHost, 1);
        double servers = dead.runWithDeadServers().handedOverPerHostAndSecond();
        int bound = 2 * HelperChoice.MAX_TRIES;
        assertTrue(all <= bound && servers <= bound, all + " and " + servers + " a second");
    }

    /** Callers of the helpers are served worse than without a cut elsewhere. */
    @Test(dataProvider = "fleets")
    public void callersOfOtherHostsAreServed(int hosts, int domains, double perHost) {
        HandoverModel model = model(HandoverModel.Way.HAND_OVER, hosts, domains, perHost, 2);
        assertTrue(model.run(first(hosts / 3)).otherServed() >= 0.999);
    }

    /** Prints how the ways compare, for one seed. */
    public static void main(String[] args) {
        for (Object[] fleet : new HandoverLoadTest().fleets()) {
            int hosts = (int) fleet[0];
            int domains = (int) fleet[1];
            double perHost = (double) fleet[2];
            Set<Integer> domain =
                    model(HandoverModel.Way.NONE, hosts, domains, perHost, 0).firstDomain();
            for (Set<Integer> cut : List.of(first(1), first(hosts / 3), domain, first(hosts - 1))) {
                for (HandoverModel.Way way : HandoverModel.Way.values()) {
                    HandoverModel model = model(way, hosts, domains, perHost, 0).run(cut);
                    System.out.printf(
                            "| %d | %d | %s | %.3f | %.3f | %.3f | %.2f | %.1f |%n",
                            hosts,
                            cut.size(),
                            way,
                            model.cutServed(),
                            model.otherServed(),
                            model.unready(),
                            model.handedOverPerHostAndSecond(),
                            model.maxTakenPerSecond());
                }
            }
        }
    }
}
