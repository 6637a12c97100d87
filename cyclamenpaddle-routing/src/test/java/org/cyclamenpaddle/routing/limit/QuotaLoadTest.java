package org.cyclamenpaddle.routing.limit;

import static org.testng.Assert.assertTrue;

import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Pattern: one team whose few clients lie on a few hosts of many, at its usual load and at seven
 * times it, with failures of hosts and of the network between them.
 */
public class QuotaLoadTest {

    private static final int SEEDS = 12;
    private static final int FEW_SEEDS = 2;
    private static final long RUN_MILLIS = 40_000;
    private static final long CUT_FROM_MILLIS = 15_000;
    private static final long CUT_TO_MILLIS = 25_000;
    private static final QuotaBounds BOUNDS = new QuotaBounds(8, 0.1, 190_000);
    private static final QuotaBounds NO_SLACK = new QuotaBounds(8, 0.1, 0);
    private static final QuotaLimit LIMIT = new QuotaLimit(84_000, 84_000);
    private static final double USUAL = 84_000 / 1.8;

    private static final DoubleUnaryOperator USUAL_LOAD = millis -> USUAL;
    private static final DoubleUnaryOperator HOT_LOAD =
            millis -> millis > 12_000 && millis < 20_000 ? 7 * USUAL : USUAL;
    private static final BiPredicate<Integer, Long> WHOLE = (pair, millis) -> false;

    /** One of four failure domains cannot reach the others. */
    private static final BiPredicate<Integer, Long> CUT =
            (pair, millis) ->
                    millis > CUT_FROM_MILLIS
                            && millis < CUT_TO_MILLIS
                            && (pair / 1_000 % 4 == 0) != (pair % 1_000 % 4 == 0);

    /** Each of the four failure domains cannot reach any other. */
    private static final BiPredicate<Integer, Long> ALL_CUT =
            (pair, millis) ->
                    millis > CUT_FROM_MILLIS
                            && millis < CUT_TO_MILLIS
                            && pair / 1_000 % 4 != pair % 1_000 % 4;

    private static QuotaScenario scenario(
            int hosts, DoubleUnaryOperator load, BiPredicate<Integer, Long> cut) {
        return new QuotaScenario(
                hosts,
                QuotaScenario.FEW_CLIENTS,
                millis -> LIMIT,
                load,
                cut,
                0,
                Set.of(),
                0,
                0,
                0,
                0);
    }

    private static QuotaScenario killed(int hosts, Set<Integer> killed, long returnMillis) {
        return new QuotaScenario(
                hosts,
                QuotaScenario.FEW_CLIENTS,
                millis -> LIMIT,
                USUAL_LOAD,
                WHOLE,
                CUT_FROM_MILLIS,
                killed,
                returnMillis,
                0,
                0,
                0);
    }

    private static Set<Integer> all(int hosts) {
        return IntStream.range(0, hosts).boxed().collect(Collectors.toSet());
    }

    /** Mean and worst result over the seeds. */
    private record Summary(double excess, double inVain, double waited, double messages) {

        static Summary of(QuotaModel.Way way, QuotaScenario scenario, int seeds) {
            return of(way, scenario, BOUNDS, seeds);
        }

        static Summary of(
                QuotaModel.Way way, QuotaScenario scenario, QuotaBounds bounds, int seeds) {
            double excess = -1;
            double inVain = 0;
            double waited = 0;
            double messages = 0;
            for (int seed = 0; seed < seeds; seed++) {
                QuotaModel.Result result =
                        new QuotaModel(way, scenario, bounds, seed).run(RUN_MILLIS);
                excess = Math.max(excess, result.mostExcess());
                inVain += result.refusedInVain() / seeds;
                waited += result.waited() / seeds;
                messages += result.messages() / seeds;
            }
            return new Summary(excess, inVain, waited, messages);
        }
    }

    @DataProvider
    public Object[][] scenarios() {
        double whole = 0.01;
        double cut = 0.1;
        return new Object[][] {
            {"usual load, 6 hosts", scenario(6, USUAL_LOAD, WHOLE), whole},
            {"usual load, 67 hosts", scenario(67, USUAL_LOAD, WHOLE), whole},
            {"usual load, 410 hosts", scenario(410, USUAL_LOAD, WHOLE), whole},
            {"seven times the load, 67 hosts", scenario(67, HOT_LOAD, WHOLE), whole},
            {
                "limit falls to a third, 67 hosts",
                new QuotaScenario(
                        67,
                        QuotaScenario.FEW_CLIENTS,
                        millis -> millis < 15_000 ? LIMIT : new QuotaLimit(28_000, 28_000),
                        USUAL_LOAD,
                        WHOLE,
                        0,
                        Set.of(),
                        0,
                        0,
                        0,
                        0),
                whole
            },
            {"one domain cut off, 67 hosts", scenario(67, USUAL_LOAD, CUT), cut},
            {"one domain cut off, seven times the load", scenario(67, HOT_LOAD, CUT), cut},
            {"all domains cut off, 67 hosts", scenario(67, USUAL_LOAD, ALL_CUT), cut},
            {"all domains cut off, seven times the load", scenario(67, HOT_LOAD, ALL_CUT), cut},
            {"all hosts killed, 67 hosts", killed(67, all(67), 1_500), cut},
            {"owner killed, 67 hosts", killed(67, Set.of(QuotaModel.PRIMARY), 1_500), cut},
            {"owner gone for good, 67 hosts", killed(67, Set.of(QuotaModel.PRIMARY), 60_000), cut},
            {
                "a twentieth of the messages lost",
                new QuotaScenario(
                        67,
                        QuotaScenario.FEW_CLIENTS,
                        millis -> LIMIT,
                        USUAL_LOAD,
                        WHOLE,
                        0,
                        Set.of(),
                        0,
                        0,
                        0,
                        0.05),
                cut
            },
        };
    }

    /** Failure: hosts that share a quota exceed it together, or refuse what it allows. */
    @Test(dataProvider = "scenarios")
    public void quotaIsKeptAndUsed(String name, QuotaScenario scenario, double mostInVain) {
        Summary lending = Summary.of(QuotaModel.Way.LENDING, scenario, SEEDS);
        print(name, QuotaModel.Way.LENDING, lending);
        assertTrue(lending.excess() <= 0, "bound exceeded by " + lending.excess());
        assertTrue(lending.inVain() <= mostInVain, "refused in vain " + lending.inVain());
    }

    /** Failure: a bound without slack is exceeded, because units lent twice fit only a slack. */
    @Test(dataProvider = "scenarios")
    public void boundWithoutSlackIsKept(String name, QuotaScenario scenario, double mostInVain) {
        Summary lending = Summary.of(QuotaModel.Way.LENDING, scenario, NO_SLACK, SEEDS);
        print(name + ", no slack", QuotaModel.Way.LENDING, lending);
        assertTrue(lending.excess() <= 0, "bound exceeded by " + lending.excess());
    }

    /** Equal parts refuse most of what a team with few clients may use. */
    @Test
    public void lendingRefusesLessThanEqualPartsAndSendsLessThanDemandParts() {
        QuotaScenario scenario = scenario(67, USUAL_LOAD, CUT);
        Summary lending = Summary.of(QuotaModel.Way.LENDING, scenario, FEW_SEEDS);
        Summary equal = Summary.of(QuotaModel.Way.EQUAL_PARTS, scenario, FEW_SEEDS);
        Summary demand = Summary.of(QuotaModel.Way.DEMAND_PARTS, scenario, FEW_SEEDS);
        assertTrue(lending.inVain() < equal.inVain() / 4, lending + " " + equal);
        assertTrue(lending.messages() < demand.messages() / 10, lending + " " + demand);
    }

    private static void print(String name, QuotaModel.Way way, Summary s) {
        System.out.printf(
                "%s, %s: excess %.2f, in vain %.3f, waited %.3f, messages %.1f%n",
                name, way, s.excess(), s.inVain(), s.waited(), s.messages());
    }
}
