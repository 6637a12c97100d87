package org.cyclamenpaddle.relay.backend;

/**
 * Weights of the cost comparison of backend servers; each cost is in milliseconds of waiting.
 *
 * @param localPrefillShare throughput of a local prefill on a decode engine as a share of that of a
 *     prefill engine; the engines' protocol specifies one half
 * @param requestMillis delay that one in-flight request adds to the next one: a batch step longer
 *     by about a tenth of a millisecond, over some tens of steps
 * @param crossDomainMillis cost of crossing failure domains: the round trip and the price of the
 *     bytes
 * @param failureMillis cost of a certain failure: the failed attempt and the next one
 * @param fullMillis cost of trying a full engine: the rejected attempt and the retry delay after it
 * @param kvTransferMillis cost of moving a prefilled prompt to a decode engine: setting up the
 *     transfer and its price, a thousandth of the value of a generation
 */
public record CostSettings(
        double localPrefillShare,
        double requestMillis,
        double crossDomainMillis,
        double failureMillis,
        double fullMillis,
        double kvTransferMillis) {

    /** Defaults for failure domains that are some milliseconds apart. */
    public static final CostSettings DEFAULTS = new CostSettings(0.5, 4, 5, 400, 30, 20);

    public CostSettings {
        if (localPrefillShare <= 0 || requestMillis < 0) {
            throw new IllegalArgumentException(
                    "localPrefillShare must be above 0 and requestMillis must not be negative");
        }
        if (crossDomainMillis < 0 || failureMillis < 0 || fullMillis < 0 || kvTransferMillis < 0) {
            throw new IllegalArgumentException("costs must not be negative");
        }
    }
}
