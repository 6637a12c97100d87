package org.cyclamenpaddle.routing.grant;

/**
 * Safety margin beyond the expected use that a promise must leave, adapted to how scarce slots have
 * been.
 *
 * <p>A broken promise costs little while other servers have free slots, and a full prefill when
 * none has. So a ledger that seldom refuses uses the mean alone, and one that refuses most requests
 * uses the largest number of standard deviations. The share of refusals is an exponential moving
 * average. Not thread-safe.
 */
final class SafetyMargin {

    private static final double SMOOTHING_FACTOR = 0.02;
    private static final double AMPLE_REFUSED_SHARE = 0.3;
    private static final double SCARCE_REFUSED_SHARE = 0.7;

    private final double mMaxDeviations;

    private double mRefusedShare;

    SafetyMargin(double maxDeviations) {
        mMaxDeviations = maxDeviations;
    }

    void recordDecision(boolean refused) {
        mRefusedShare += SMOOTHING_FACTOR * ((refused ? 1 : 0) - mRefusedShare);
    }

    double deviations() {
        double scarcity =
                (mRefusedShare - AMPLE_REFUSED_SHARE)
                        / (SCARCE_REFUSED_SHARE - AMPLE_REFUSED_SHARE);
        return mMaxDeviations * Math.min(1, Math.max(0, scarcity));
    }
}
