package org.cyclamenpaddle.fleet.simulation;

import java.util.List;
import java.util.stream.Collectors;
import org.cyclamenpaddle.core.message.HostState;
import org.cyclamenpaddle.fleet.membership.Membership;
import org.cyclamenpaddle.fleet.ownership.Ownership;
import org.cyclamenpaddle.fleet.simulation.MembershipFleet.Host;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Measures membership by size of the fleet; run by name, as it takes longer than a test may. */
public class ScaleMeasurement {

    private static final int DOMAINS = 6;

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{9}, {50}, {100}, {200}, {410}};
    }

    @Test(dataProvider = "sizes")
    public void measure(int hosts) {
        MembershipFleet fleet = new MembershipFleet(hosts, DOMAINS, RunOptions.seed(1));
        fleet.mQueue.runFor(30_000);
        long missing =
                fleet.up().stream()
                        .mapToLong(a -> fleet.up().stream().filter(b -> unseen(a, b)).count())
                        .sum();
        long seconds = 10;
        long messages = fleet.mMessages;
        long bytes = fleet.mBytes;
        long nanos = fleet.mNanos;
        fleet.mQueue.runFor(seconds * 1_000);
        double share = (double) seconds * hosts;
        report(hosts, "views missing after 30 s", missing);
        report(hosts, "messages sent per host and second", (fleet.mMessages - messages) / share);
        report(hosts, "bytes sent per host and second", (fleet.mBytes - bytes) / share);
        report(hosts, "core share in percent", (fleet.mNanos - nanos) / share / 1e7);
        report(hosts, "ms until all see a machine as dead", kill(fleet, true));
        fleet.mQueue.runFor(10_000);
        report(hosts, "ms until all see a process as dead", kill(fleet, false));
        fleet.mQueue.runFor(10_000);
        report(hosts, "ms until all have a change", spread(fleet));
    }

    private static boolean unseen(Host a, Host b) {
        return a.view(b) != HostState.ALIVE;
    }

    private static long kill(MembershipFleet fleet, boolean machine) {
        Host victim = fleet.up().get(fleet.mRandom.nextInt(fleet.up().size()));
        victim.mUp = false;
        victim.mMachineDown = machine;
        long start = fleet.mQueue.now();
        while (fleet.up().stream().anyMatch(host -> host.view(victim) != HostState.DEAD)
                && fleet.mQueue.now() - start < 20_000) {
            fleet.mQueue.runFor(10);
        }
        return fleet.mQueue.now() - start;
    }

    /** Gives the two watchers of each domain a new digest and waits until heartbeats spread it. */
    private static long spread(MembershipFleet fleet) {
        Membership view = fleet.up().get(0).mMembership;
        List<Host> watchers =
                view.alive().stream()
                        .map(host -> host.domain())
                        .distinct()
                        .flatMap(d -> Ownership.watchers(d, view.alive(), 2).stream())
                        .map(record -> fleet.mHosts.get(record.incarnation().host()))
                        .collect(Collectors.toList());
        watchers.forEach(host -> host.mDigest = 7);
        long start = fleet.mQueue.now();
        while (fleet.up().stream().anyMatch(host -> host.mDigest != 7)
                && fleet.mQueue.now() - start < 60_000) {
            fleet.mQueue.runFor(10);
        }
        return fleet.mQueue.now() - start;
    }

    private static void report(int hosts, String what, double value) {
        Reporter.log(String.format("%d hosts: %s: %.2f", hosts, what, value), true);
    }
}
