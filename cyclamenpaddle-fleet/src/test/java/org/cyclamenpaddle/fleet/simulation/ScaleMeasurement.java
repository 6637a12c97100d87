package org.cyclamenpaddle.fleet.simulation;

import java.util.List;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.cyclamenpaddle.core.message.HostState;
import org.cyclamenpaddle.fleet.membership.Membership;
import org.cyclamenpaddle.fleet.ownership.Ownership;
import org.cyclamenpaddle.fleet.simulation.MembershipFleet.Host;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Measures membership by fleet size; must be selected by name, as it takes too long for the regular
 * test run.
 */
public class ScaleMeasurement {

    private static final int DOMAINS = 6;
    private static final int SAMPLES = 5;

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
                        .mapToLong(a -> fleet.up().stream().filter(b -> notAlive(a, b)).count())
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
        report(hosts, "longest ms until all see a dead machine", longest(() -> kill(fleet)));
        report(hosts, "longest ms until all have a change", longest(() -> distributeChange(fleet)));
    }

    @DataProvider
    public Object[][] claims() {
        return new Object[][] {{9, 4, 100}, {9, 4, 1_000}, {9, 64, 1_000}, {9, 1_024, 1_000}};
    }

    @Test(dataProvider = "claims")
    public void measureClaims(int hosts, int shards, int perSecond) {
        BookingRun run = new BookingRun(hosts, shards, RunOptions.seed(1));
        double calls = run.callsPerBooking(3 * perSecond, perSecond);
        Reporter.log(
                String.format(
                        "%d hosts, %d shards, %d bookings/s: %.2f calls each",
                        hosts, shards, perSecond, calls),
                true);
    }

    private static long longest(LongSupplier measured) {
        return LongStream.generate(measured).limit(SAMPLES).max().orElseThrow();
    }

    private static boolean notAlive(Host a, Host b) {
        return a.view(b) != HostState.ALIVE;
    }

    private static long kill(MembershipFleet fleet) {
        fleet.mQueue.runFor(1_000 + fleet.mRandom.nextInt(500));
        Host victim = fleet.up().get(fleet.mRandom.nextInt(fleet.up().size()));
        victim.mUp = false;
        victim.mMachineDown = true;
        long start = fleet.mQueue.now();
        while (fleet.up().stream().anyMatch(host -> host.view(victim) != HostState.DEAD)
                && fleet.mQueue.now() - start < 20_000) {
            fleet.mQueue.runFor(10);
        }
        return fleet.mQueue.now() - start;
    }

    /**
     * Sets a new digest on the two watchers of each domain and waits until heartbeats have
     * distributed it.
     */
    private static long distributeChange(MembershipFleet fleet) {
        Membership view = fleet.up().get(0).mMembership;
        List<Host> watchers =
                view.alive().stream()
                        .map(host -> host.domain())
                        .distinct()
                        .flatMap(d -> Ownership.watchers(d, view.alive(), 2).stream())
                        .map(record -> fleet.mHosts.get(record.incarnation().host()))
                        .collect(Collectors.toList());
        long digest = fleet.mQueue.now();
        watchers.forEach(host -> host.mDigest = digest);
        long start = fleet.mQueue.now();
        while (fleet.up().stream().anyMatch(host -> host.mDigest != digest)
                && fleet.mQueue.now() - start < 60_000) {
            fleet.mQueue.runFor(10);
        }
        return fleet.mQueue.now() - start;
    }

    private static void report(int hosts, String what, double value) {
        Reporter.log(String.format("%d hosts: %s: %.2f", hosts, what, value), true);
    }
}
