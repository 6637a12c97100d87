package org.cyclamenpaddle.relay.backend;

/**
 * Weights by which backend servers are compared; every cost is in milliseconds of waiting.
 *
 * @param inPlaceShare share of that rate at which a decode engine reads a prompt itself; from the
 *     engines' protocol, which says half
 * @param requestMillis what one open request slows the next one by: a batch step longer by about a
 *     tenth of a millisecond, over some tens of steps
 * @param domainMillis what crossing failure domains is worth avoiding: the round trip, and the
 *     price of the bytes
 * @param failureMillis what a certain failure would cost: the attempt and the next one
 * @param fullMillis what asking a full engine costs: an ask in vain and the pause after it
 * @param handOverMillis what moving a read prompt to a decode engine is worth avoiding: setting up
 *     the transfer, and its price: a thousandth of what a generation is worth
 */
public record CostSettings(
        double inPlaceShare,
        double requestMillis,
        double domainMillis,
        double failureMillis,
        double fullMillis,
        double handOverMillis) {

    /** Figures for failure domains that are some milliseconds apart. */
    public static final CostSettings DEFAULTS = new CostSettings(0.5, 4, 5, 400, 30, 20);

    public CostSettings {
        if (inPlaceShare <= 0 || requestMillis < 0) {
            throw new IllegalArgumentException("rates of engines must be above 0");
        }
        if (domainMillis < 0 || failureMillis < 0 || fullMillis < 0 || handOverMillis < 0) {
            throw new IllegalArgumentException("costs must not be negative");
        }
    }
}
