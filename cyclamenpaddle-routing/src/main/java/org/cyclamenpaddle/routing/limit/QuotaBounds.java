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
    private static final double ADVANCE_SHARE = 0.2;

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

    private double excessUnits(QuotaLimit limit) {
        double withinLimit = limit.unitsPerSecond() * windowSeconds + limit.burstUnits();
        return mostInWindow(limit) - withinLimit;
    }
}
