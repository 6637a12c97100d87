package org.cyclamenpaddle.routing.silence;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.function.LongFunction;
import java.util.stream.LongStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenpaddle.routing.Fixtures;
import org.cyclamenpaddle.routing.silence.SilenceModel.Outcome;
import org.cyclamenpaddle.routing.silence.SilenceModel.Scenario;
import org.cyclamenpaddle.routing.silence.SilenceModel.Silence;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests second sends beside silent servers over fleets of hosts in virtual time. */
public class SilenceLoadTest {

    private static final double SMALL = 52;
    private static final double AMPLE = 1_000_000;
    private static final int SEEDS = 60;
    private static final int ATTEMPTS = 3;

    /** Arrivals for 24 requests while no second send can help any of them. */
    private static final double MAX_SHARE = 26 / 24.0;

    /**
     * Longest silence of all servers, in milliseconds, in which a host that has no work at some of
     * them does not send there. Later it must, since one silent server among idle ones looks the
     * same to it.
     */
    private static final int UNTRIED_MILLIS = 1_950;

    private static final int[] HOSTS = {1, 6, 67, 94, 410};
    private static final int[] SERVERS = {1, 3, 13, 42};
    private static final double[] SLACKS = {SMALL, AMPLE};

    /** Hosts, servers and requests: few and many requests for each host. */
    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {
            {1, 3, 24},
            {6, 3, 24},
            {6, 3, 144},
            {6, 13, 72},
            {67, 13, 134},
            {94, 42, 188},
            {410, 42, 410}
        };
    }

    private static int choose(UniformRandomProvider random, int... values) {
        return values[random.nextInt(values.length)];
    }

    private static void check(LongFunction<Scenario> scenarios, Check check) {
        LongStream.range(0, SEEDS)
                .forEach(
                        seed -> {
                            Scenario scenario = scenarios.apply(seed);
                            check.check(
                                    scenario,
                                    SilenceModel.run(scenario, seed),
                                    "seed " + seed + ", " + scenario);
                        });
    }

    private interface Check {
        void check(Scenario scenario, Outcome outcome, String name);
    }

    private static Scenario drawn(long seed) {
        UniformRandomProvider random = Fixtures.random(~seed);
        int hosts = choose(random, HOSTS);
        int servers = choose(random, SERVERS);
        boolean forGood = random.nextInt(8) == 0;
        Silence silence =
                new Silence(
                        1 + random.nextInt(servers),
                        random.nextInt((int) SilenceModel.ARRIVAL_MILLIS),
                        random.nextInt(3) == 0 ? random.nextInt(400) : 0,
                        forGood ? SilenceModel.FOR_GOOD : 100 + random.nextInt(9_900));
        return new Scenario(
                hosts,
                servers,
                hosts + random.nextInt(1_000),
                random.nextBoolean(),
                silence,
                SLACKS[random.nextInt(SLACKS.length)],
                2 + random.nextInt(2));
    }

    /**
     * A request is lost although its server would have answered it in time, since it was moved or
     * ended; or a send goes on after its request has ended.
     */
    @Test
    public void noRequestIsLostThatItsServerWouldAnswer() {
        check(
                SilenceLoadTest::drawn,
                (scenario, outcome, name) -> {
                    assertEquals(outcome.lostAtSound(), 0, name);
                    assertEquals(outcome.left(), 0, name);
                    assertEquals(outcome.whole() + outcome.lost(), scenario.requests(), name);
                });
    }

    /**
     * All servers are silent at about the same time, and requests are sent a second time to servers
     * where their host has no work, or to the server that goes on first.
     */
    @Test(dataProvider = "fleets")
    public void silenceOfAllServersDoesNotDoubleTheLoad(int hosts, int servers, int requests) {
        check(
                seed -> {
                    UniformRandomProvider random = Fixtures.random(~seed);
                    Silence all =
                            new Silence(
                                    servers,
                                    random.nextInt((int) SilenceModel.ARRIVAL_MILLIS),
                                    random.nextInt(1 + 120 / servers),
                                    100 + random.nextInt(UNTRIED_MILLIS - 100));
                    return new Scenario(
                            hosts, servers, requests, random.nextBoolean(), all, AMPLE, ATTEMPTS);
                },
                SilenceLoadTest::checkArrivals);
    }

    /** The same for longer silences, where each host has work at each server. */
    @Test
    public void longSilenceOfServersWithWorkDoesNotDoubleTheLoad() {
        check(
                seed -> {
                    UniformRandomProvider random = Fixtures.random(~seed);
                    int hosts = choose(random, 1, 6);
                    Silence all = new Silence(3, 1_500, 0, 100 + random.nextInt(9_900));
                    return new Scenario(
                            hosts, 3, hosts * 48, random.nextBoolean(), all, AMPLE, ATTEMPTS);
                },
                SilenceLoadTest::checkArrivals);
    }

    private static void checkArrivals(Scenario scenario, Outcome outcome, String name) {
        double share = outcome.arrivals() / (double) scenario.requests();
        assertTrue(share <= MAX_SHARE, name + ": " + outcome);
    }

    /** A stream stays at a server that is silent for good until its caller leaves. */
    @Test(dataProvider = "fleets")
    public void streamsLeaveAServerThatIsSilentForGood(int hosts, int servers, int requests) {
        check(
                seed -> {
                    Silence one =
                            new Silence(
                                    1,
                                    Fixtures.random(~seed)
                                            .nextInt((int) SilenceModel.ARRIVAL_MILLIS),
                                    0,
                                    SilenceModel.FOR_GOOD);
                    return new Scenario(hosts, servers, requests, true, one, AMPLE, ATTEMPTS);
                },
                (scenario, outcome, name) -> {
                    assertEquals(outcome.whole(), requests, name + ": " + outcome);
                    assertTrue(outcome.longestGapMillis() < SilenceModel.SILENCE_MILLIS, name);
                });
    }

    /** Half of the servers are silent for good, and the second send goes to one of them. */
    @Test
    public void secondSendGoesToAServerThatResponds() {
        check(
                seed -> {
                    UniformRandomProvider random = Fixtures.random(~seed);
                    int hosts = choose(random, 6, 67);
                    Silence half = new Silence(6, 1_200, 0, SilenceModel.FOR_GOOD);
                    return new Scenario(hosts, 13, hosts * 24, true, half, AMPLE, ATTEMPTS);
                },
                (scenario, outcome, name) ->
                        assertEquals(outcome.lost(), 0, name + ": " + outcome));
    }

    /** Prints the figures of all fleets: {@code SEEDS}. */
    public static void main(String[] args) {
        int seeds = Integer.parseInt(args[0]);
        for (boolean streams : new boolean[] {true, false}) {
            for (int[] fleet :
                    new int[][] {
                        {1, 3, 24},
                        {6, 3, 24},
                        {6, 3, 144},
                        {6, 13, 72},
                        {67, 13, 134},
                        {67, 13, 1_340},
                        {94, 42, 188},
                        {94, 42, 1_880},
                        {410, 42, 410}
                    }) {
                for (double slack : SLACKS) {
                    for (long millis : new long[] {1_300, 1_800, 2_600, 3_400}) {
                        print(
                                fleet,
                                streams,
                                slack,
                                new Silence(fleet[1], 1_200, 0, millis),
                                seeds);
                    }
                    print(fleet, streams, slack, new Silence(fleet[1], 1_200, 150, 2_200), seeds);
                    print(fleet, streams, slack, new Silence(fleet[1] / 2, 1_200, 0, 2_600), seeds);
                    for (int silent : new int[] {1, (fleet[1] + 1) / 2}) {
                        Silence forGood = new Silence(silent, 1_200, 0, SilenceModel.FOR_GOOD);
                        print(fleet, streams, slack, forGood, seeds);
                    }
                }
            }
        }
    }

    private static void print(
            int[] fleet, boolean streams, double slack, Silence silence, int seeds) {
        Scenario scenario =
                new Scenario(fleet[0], fleet[1], fleet[2], streams, silence, slack, ATTEMPTS);
        List<Outcome> outcomes =
                LongStream.range(0, seeds)
                        .mapToObj(seed -> SilenceModel.run(scenario, seed))
                        .toList();
        int arrivals = outcomes.stream().mapToInt(Outcome::arrivals).max().orElse(0);
        System.out.printf(
                "hosts %d servers %d requests %d %s slack %.0f %s: arrivals max %d (share %.3f, "
                        + "extra allowed %.0f%s) lost max %d of sound %d gap %d left %d%n",
                fleet[0],
                fleet[1],
                fleet[2],
                streams ? "streams" : "calls",
                slack,
                silence,
                arrivals,
                arrivals / (double) fleet[2],
                scenario.allowedExtra(),
                arrivals - fleet[2] > scenario.allowedExtra() ? " EXCEEDED" : "",
                outcomes.stream().mapToInt(Outcome::lost).max().orElse(0),
                outcomes.stream().mapToInt(Outcome::lostAtSound).max().orElse(0),
                outcomes.stream().mapToLong(Outcome::longestGapMillis).max().orElse(0),
                outcomes.stream().mapToInt(Outcome::left).max().orElse(0));
    }
}
