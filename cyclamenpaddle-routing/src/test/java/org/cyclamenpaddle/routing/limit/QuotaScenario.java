package org.cyclamenpaddle.routing.limit;

import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.DoubleUnaryOperator;
import java.util.function.LongFunction;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * What happens in a run.
 *
 * @param hosts number of hosts
 * @param traffic requests of the team
 * @param limit limit at a time in milliseconds
 * @param load load at a time in milliseconds, in units a second
 * @param cut whether two hosts cannot reach each other at a time, given as {@code hostA * 1_000 +
 *     hostB} and milliseconds
 * @param killMillis time at which all of {@code killed} lose their state; 0 for never
 * @param killed hosts killed; {@link QuotaModel#PRIMARY} for the primary owner
 * @param returnMillis time after which they run again
 * @param slowMillis time from then on in which half of the messages are lost and the others take
 *     longer than the timeout
 * @param changeMillis time at which hosts begin to take the deputy for the primary owner, each
 *     within {@link QuotaModel#CHANGE_MILLIS}; 0 for never
 * @param loss share of messages lost
 * @param views how the views of the hosts change
 */
record QuotaScenario(
        int hosts,
        Traffic traffic,
        LongFunction<QuotaLimit> limit,
        DoubleUnaryOperator load,
        BiPredicate<Integer, Long> cut,
        long killMillis,
        Set<Integer> killed,
        long returnMillis,
        long slowMillis,
        long changeMillis,
        double loss,
        Views views) {

    /** How the hosts' views of the owner change, from the time at which each first does. */
    enum Views {
        /** For good. */
        CHANGE {
            @Override
            boolean changed(int host, double sinceMillis) {
                return sinceMillis >= 0;
            }
        },
        /** To the other owner and back every {@link #TURN_MILLIS}. */
        GO_BACK_AND_FORTH {
            @Override
            boolean changed(int host, double sinceMillis) {
                return sinceMillis >= 0 && (long) (sinceMillis / TURN_MILLIS) % 2 == 0;
            }
        },
        /** At every other host only, so that the hosts disagree to the end. */
        STAY_DIVIDED {
            @Override
            boolean changed(int host, double sinceMillis) {
                return sinceMillis >= 0 && host % 2 == 0;
            }
        };

        private static final double TURN_MILLIS = 3_000;

        abstract boolean changed(int host, double sinceMillis);
    }

    QuotaScenario(
            int hosts,
            Traffic traffic,
            LongFunction<QuotaLimit> limit,
            DoubleUnaryOperator load,
            BiPredicate<Integer, Long> cut,
            long killMillis,
            Set<Integer> killed,
            long returnMillis,
            long slowMillis,
            long changeMillis,
            double loss) {
        this(
                hosts,
                traffic,
                limit,
                load,
                cut,
                killMillis,
                killed,
                returnMillis,
                slowMillis,
                changeMillis,
                loss,
                Views.CHANGE);
    }

    private static final int SMALL_COST = 200;

    /** Requests of a team whose few clients lie on a few hosts. */
    static final Traffic FEW_CLIENTS = new Traffic(9, 0.38, 2_400, 6_000);

    /** Requests of a team on all hosts: plain calls, and generations of 5,600 units. */
    static final Traffic ALL_HOSTS = new Traffic(0, 0.35, 5_600, 1);

    /**
     * Requests of a team.
     *
     * @param clients clients, each on one host drawn by chance; 0 for one client on each host
     * @param largeShare share of large requests; the others cost {@link #SMALL_COST}
     * @param largeUnits least cost of a large request
     * @param largeSpread spread of that cost
     */
    record Traffic(int clients, double largeShare, int largeUnits, int largeSpread) {

        long draw(UniformRandomProvider random) {
            return random.nextDouble() >= largeShare
                    ? SMALL_COST
                    : largeUnits + random.nextInt(largeSpread);
        }

        double mean() {
            return (1 - largeShare) * SMALL_COST + largeShare * (largeUnits + largeSpread / 2.0);
        }
    }
}
