package org.cyclamenpaddle.routing.grant;

/**
 * How much room beyond the expected use a promise must leave, by how scarce slots have been.
 *
 * <p>A promise that is not kept costs little while other servers have free slots, and a prefill
 * when none has. So a ledger that seldom refuses promises by the mean alone, and one that refuses
 * most asks leaves the most deviations. Not thread-safe.
 */
final class Caution {

    private static final double WEIGHT = 0.02;
    private static final double AMPLE_SHARE = 0.3;
    private static final double SCARCE_SHARE = 0.7;

    private final double mMostDeviations;

    private double mRefusedShare;

    Caution(double mostDeviations) {
        mMostDeviations = mostDeviations;
    }

    void decided(boolean refused) {
        mRefusedShare += WEIGHT * ((refused ? 1 : 0) - mRefusedShare);
    }

    double deviations() {
        double scarcity = (mRefusedShare - AMPLE_SHARE) / (SCARCE_SHARE - AMPLE_SHARE);
        return mMostDeviations * Math.min(1, Math.max(0, scarcity));
    }
}
