package org.cyclamenpaddle.routing.limit;

/**
 * By how much the use of a quota over all hosts may exceed its limit.
 *
 * @param windowSeconds length of the sliding windows in which use is judged
 * @param overage share of a limit by which use may exceed it
 * @param slackUnits units by which use may exceed a limit besides
 */
public record QuotaBounds(double windowSeconds, double overage, double slackUnits) {

    /** Bounds of a deployment that states none. */
    public static final QuotaBounds DEFAULTS = new QuotaBounds(10, 0.1, 0);

    /** Share of the excess that all hosts together may hold as unspent units. */
    private static final double ADVANCE_SHARE = 0.1;

    /** Share of the excess that the primary owner lends, with what is lent twice in a cut. */
    private static final double LENT_SHARE = 0.6;

    /**
     * Time for which the primary owner may lend what hosts borrow from deputies, in seconds: until
     * it reserves that, and until the debt that it then has is repaid.
     */
    private static final double LENT_TWICE_SECONDS = 1;

    /** Share of the excess that the pool of a new primary owner starts with. */
    private static final double START_SHARE = 0.1;

    /** Share of the excess that hosts admit together while no owner has responded to them. */
    private static final double ENTRY_SHARE = 0.15;

    /** Load for which the entry share is enough, as a multiple of the limit. */
    private static final double ENTRY_LOAD = 6;

    /** Time after a start in which hosts admit requests without an owner, in milliseconds. */
    static final long ENTRY_MILLIS = 800;

    private static final double MILLIS_PER_SECOND = 1_000;

    public QuotaBounds {
        if (!(windowSeconds > 0) || !(overage >= 0) || !(slackUnits >= 0)) {
            throw new IllegalArgumentException(
                    "quota bounds need a window above 0, an overage and a slack of 0 or more, got "
                            + windowSeconds
                            + " s, "
                            + overage
                            + " and "
                            + slackUnits);
        }
    }

    /** Returns the most that may be used of a limit in one window. */
    public double mostInWindow(QuotaLimit limit) {
        return (limit.unitsPerSecond() * windowSeconds + limit.burstUnits()) * (1 + overage)
                + slackUnits;
    }

    /** Returns the most units that all hosts together may hold unspent. */
    double advanceUnits(QuotaLimit limit) {
        return excessUnits(limit) * ADVANCE_SHARE;
    }

    /** Returns the units that the pool of a new primary owner starts with. */
    double startUnits(QuotaLimit limit) {
        return Math.min(capacity(limit), excessUnits(limit) * START_SHARE);
    }

    /**
     * Returns the probability with which a host that has just started admits the first request of a
     * team while no owner responds. All hosts together then admit the entry share of the excess, at
     * one request each and {@link #ENTRY_LOAD} times the load of the limit.
     *
     * @param cost units that the request costs
     * @param hosts number of hosts
     */
    public double entryProbability(QuotaLimit limit, long cost, int hosts) {
        double ofAllHosts = (double) cost * hosts;
        double ofLoad =
                limit.unitsPerSecond() * ENTRY_LOAD * ENTRY_MILLIS / MILLIS_PER_SECOND + cost;
        double asked = Math.min(ofAllHosts, ofLoad);
        return asked > 0 ? Math.min(1, excessUnits(limit) * ENTRY_SHARE / asked) : 1;
    }

    /** Returns the most units that the primary owner's pool can hold. */
    double capacity(QuotaLimit limit) {
        return QuotaPool.capacity(limit) * (1 + overage);
    }

    /**
     * Returns the rate beyond the limit at which the primary owner lends, in units a second: the
     * lent share of the excess, less the capacity beyond the burst, spread over a window and the
     * time for which units may be lent twice.
     */
    double beyondPerSecond(QuotaLimit limit) {
        double units =
                excessUnits(limit) * LENT_SHARE
                        - (capacity(limit) - limit.burstUnits())
                        - limit.unitsPerSecond() * LENT_TWICE_SECONDS;
        return Math.max(0, units) / (windowSeconds + LENT_TWICE_SECONDS);
    }

    private double excessUnits(QuotaLimit limit) {
        double withinLimit = limit.unitsPerSecond() * windowSeconds + limit.burstUnits();
        return mostInWindow(limit) - withinLimit;
    }
}
