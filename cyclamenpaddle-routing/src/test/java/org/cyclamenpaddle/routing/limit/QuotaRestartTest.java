package org.cyclamenpaddle.routing.limit;

import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Pattern: 16 teams of unequal load on all of 77 hosts, three of them at six times their usual load
 * for 8 s; all hosts are killed at once, and messages between them fail or are late for the first
 * second after the restart.
 */
public class QuotaRestartTest {

    private static final int SEEDS = 6;
    private static final int MANY_SEEDS = 30;
    private static final int HOSTS = 77;
    private static final long RUN_MILLIS = 30_000;
    private static final long KILL_MILLIS = 15_000;
    private static final long OWNER_CHANGE_MILLIS = 14_000;
    private static final long RETURN_MILLIS = 2_500;
    private static final long SLOW_MILLIS = 1_000;
    private static final double HOT_FACTOR = 6;

    /** A third of the shortest target, 0.8 s, and the granularity of the timers. */
    private static final double MOST_WAIT_MILLIS = 310;

    /**
     * Owners do not respond for a second of the 27 s with traffic, which is 0.037 of the units, and
     * more of those of a hot team.
     */
    private static final double MOST_DENIED = 0.05;

    /** The limit itself is 0.65 of the bound of the smaller team and 0.74 of the larger one's. */
    private static final double LEAST_USED = 0.72;

    private static final QuotaBounds SLACK = new QuotaBounds(8, 0.1, 190_000);
    private static final QuotaBounds NO_SLACK = new QuotaBounds(8, 0.1, 0);
    private static final BiPredicate<Integer, Long> WHOLE = (pair, millis) -> false;

    /** Each of the four failure domains cannot reach any other for 6 s. */
    private static final BiPredicate<Integer, Long> ALL_CUT =
            (pair, millis) ->
                    millis > KILL_MILLIS
                            && millis < KILL_MILLIS + 6_000
                            && pair / 1_000 % 4 != pair % 1_000 % 4;

    /** A team's usual load in units a second, its limit as a multiple, and whether it is hot. */
    private record TeamLoad(double usual, double limitFactor, boolean hot) {

        QuotaLimit limit() {
            return new QuotaLimit(usual * limitFactor, usual * limitFactor);
        }

        double load(double millis) {
            return hot && millis > 10_000 && millis < 18_000 ? HOT_FACTOR * usual : usual;
        }

        QuotaScenario killed(int hosts, long slowMillis) {
            return killed(hosts, RETURN_MILLIS, slowMillis);
        }

        QuotaScenario killed(int hosts, long returnMillis, long slowMillis) {
            return new QuotaScenario(
                    hosts,
                    QuotaScenario.ALL_HOSTS,
                    millis -> limit(),
                    this::load,
                    WHOLE,
                    KILL_MILLIS,
                    IntStream.range(0, hosts).boxed().collect(Collectors.toSet()),
                    returnMillis,
                    slowMillis,
                    0,
                    0);
        }

        QuotaScenario ownerKilled() {
            return new QuotaScenario(
                    HOSTS,
                    QuotaScenario.ALL_HOSTS,
                    millis -> limit(),
                    this::load,
                    WHOLE,
                    KILL_MILLIS,
                    Set.of(QuotaModel.PRIMARY),
                    RETURN_MILLIS,
                    0,
                    0,
                    0);
        }

        QuotaScenario unkilled(BiPredicate<Integer, Long> cut, long changeMillis) {
            return new QuotaScenario(
                    HOSTS,
                    QuotaScenario.ALL_HOSTS,
                    millis -> limit(),
                    this::load,
                    cut,
                    0,
                    Set.of(),
                    0,
                    0,
                    changeMillis,
                    0);
        }
    }

    /** Generations of 5,600 units once in 15 s and host are 28,700 units a second. */
    private static final TeamLoad SMALL = new TeamLoad(29_500, 1.6, false);

    private static final TeamLoad SMALL_HOT = new TeamLoad(29_500, 1.6, true);
    private static final TeamLoad MEDIUM_HOT = new TeamLoad(10_000, 1.6, true);
    private static final TeamLoad LARGE_HOT = new TeamLoad(52_000, 1.6, true);

    private static final List<TeamLoad> TEAMS =
            List.of(
                    new TeamLoad(52_000, 1.6, false),
                    LARGE_HOT,
                    SMALL,
                    SMALL_HOT,
                    new TeamLoad(14_000, 1.6, false),
                    MEDIUM_HOT,
                    new TeamLoad(7_000, 8, false),
                    new TeamLoad(5_000, 1.6, false),
                    new TeamLoad(4_000, 8, false),
                    new TeamLoad(3_000, 1.6, false),
                    new TeamLoad(2_500, 8, false),
                    new TeamLoad(2_000, 1.6, false),
                    new TeamLoad(1_500, 1.6, false),
                    new TeamLoad(1_000, 8, false),
                    new TeamLoad(1_000, 1.6, false),
                    new TeamLoad(700, 1.6, false));

    /** Mean over the seeds, but the worst for the excess and the wait. */
    private record Summary(
            double excess,
            double used,
            double denied,
            double waited,
            double longestWait,
            double messages) {

        static Summary of(QuotaScenario scenario, QuotaBounds bounds) {
            List<QuotaModel.Result> results =
                    IntStream.range(0, SEEDS)
                            .parallel()
                            .mapToObj(
                                    seed ->
                                            new QuotaModel(
                                                            QuotaModel.Way.LENDING,
                                                            scenario,
                                                            bounds,
                                                            seed)
                                                    .run(RUN_MILLIS))
                            .toList();
            return new Summary(
                    results.stream().mapToDouble(r -> r.mostExcess()).max().orElse(0),
                    results.stream().mapToDouble(r -> 1 + r.mostExcess()).average().orElse(0),
                    results.stream().mapToDouble(r -> r.deniedInVain()).average().orElse(0),
                    results.stream().mapToDouble(r -> r.waited()).average().orElse(0),
                    results.stream().mapToDouble(r -> r.longestWait()).max().orElse(0),
                    results.stream().mapToDouble(r -> r.messages()).average().orElse(0));
        }
    }

    private static Summary measured(String name, QuotaScenario scenario, QuotaBounds bounds) {
        Summary s = Summary.of(scenario, bounds);
        System.out.printf(
                "%s: excess %.2f, used %.2f, denied in vain %.3f, waited %.3f, longest %.0f ms,"
                        + " messages %.1f%n",
                name, s.excess(), s.used(), s.denied(), s.waited(), s.longestWait(), s.messages());
        return s;
    }

    @DataProvider
    public Object[][] bounds() {
        return new Object[][] {{"slack", SLACK}, {"no slack", NO_SLACK}};
    }

    /** Failure: after a restart of all hosts, teams are refused although they are below it. */
    @Test
    public void teamsAreServedAfterARestartOfAllHosts() {
        double units = 0;
        double denied = 0;
        for (TeamLoad team : TEAMS) {
            String name = "restart, " + team;
            Summary summary = measured(name, team.killed(HOSTS, SLOW_MILLIS), SLACK);
            assertTrue(summary.excess() <= 0, name + " exceeded by " + summary.excess());
            units += team.usual();
            denied += team.usual() * summary.denied();
        }
        System.out.printf("restart, all teams: denied in vain %.4f%n", denied / units);
        assertTrue(denied / units <= MOST_DENIED, "denied in vain " + denied / units);
    }

    /** Failure: a team that asks for more is refused far below the bound. */
    @Test
    public void teamThatAsksForMoreUsesMostOfTheBound() {
        for (TeamLoad team : List.of(LARGE_HOT, SMALL_HOT)) {
            String name = "hot, " + team;
            Summary summary = measured(name, team.unkilled(WHOLE, 0), SLACK);
            assertTrue(summary.used() >= LEAST_USED, name + " used " + summary.used());
        }
    }

    /** Failure: units are lent twice across a kill, a cut or a change of the owner. */
    @Test(dataProvider = "bounds")
    public void boundIsKeptAcrossFailures(String name, QuotaBounds bounds) {
        for (TeamLoad team : List.of(LARGE_HOT, SMALL_HOT, MEDIUM_HOT)) {
            kept(name + ", killed, 6 hosts", team.killed(6, SLOW_MILLIS), bounds);
            kept(name + ", killed, 77 hosts", team.killed(HOSTS, SLOW_MILLIS), bounds);
            kept(name + ", killed, not slow", team.killed(HOSTS, 0), bounds);
            kept(name + ", killed, 410 hosts", team.killed(410, SLOW_MILLIS), bounds);
            kept(name + ", killed, back soon", team.killed(HOSTS, 500, SLOW_MILLIS), bounds);
            kept(name + ", all domains cut off", team.unkilled(ALL_CUT, 0), bounds);
            kept(name + ", owner changes", team.unkilled(WHOLE, OWNER_CHANGE_MILLIS), bounds);
            kept(name + ", owner killed", team.ownerKilled(), bounds);
            kept(name + ", hot", team.unkilled(WHOLE, 0), bounds);
        }
    }

    /** Failure: hosts that disagree about the owner for 5 s exceed a bound without slack. */
    @Test
    public void boundWithoutSlackIsKeptWhileHostsDisagree() {
        QuotaScenario scenario = LARGE_HOT.unkilled(WHOLE, OWNER_CHANGE_MILLIS);
        List<String> exceeded =
                IntStream.range(0, MANY_SEEDS)
                        .boxed()
                        .flatMap(seed -> exceeded(scenario, seed).stream())
                        .toList();
        assertTrue(exceeded.isEmpty(), exceeded.toString());
    }

    private static Optional<String> exceeded(QuotaScenario scenario, int seed) {
        double excess =
                new QuotaModel(QuotaModel.Way.LENDING, scenario, NO_SLACK, seed)
                        .run(RUN_MILLIS)
                        .mostExcess();
        return excess > 0
                ? Optional.of("seed " + seed + " exceeds by " + excess)
                : Optional.empty();
    }

    private static void kept(String name, QuotaScenario scenario, QuotaBounds bounds) {
        Summary summary = measured(name, scenario, bounds);
        assertTrue(summary.excess() <= 0, name + ": bound exceeded by " + summary.excess());
        assertTrue(summary.longestWait() <= MOST_WAIT_MILLIS, name + " " + summary);
    }
}
