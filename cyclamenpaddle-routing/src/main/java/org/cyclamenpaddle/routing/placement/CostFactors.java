package org.cyclamenpaddle.routing.placement;

/**
 * Learned ratios of actual to predicted time for one service.
 *
 * @param prefill ratio for prefill
 * @param transfer ratio for transfers
 */
public record CostFactors(double prefill, double transfer) {

    /** Factors that leave predictions unchanged. */
    public static final CostFactors NEUTRAL = new CostFactors(1, 1);

    public CostFactors {
        if (!(prefill > 0) || !(transfer > 0)) {
            throw new IllegalArgumentException(
                    "cost factors must be above 0: prefill " + prefill + ", transfer " + transfer);
        }
    }
}
