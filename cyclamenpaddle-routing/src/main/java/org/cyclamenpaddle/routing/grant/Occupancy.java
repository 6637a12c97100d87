package org.cyclamenpaddle.routing.grant;

/** Expected slots and KV cache blocks in use at one time, with their variance. */
final class Occupancy {

    /** Without this tolerance a server with one slot would never be promised before it is free. */
    private static final double TOLERATED_SLOTS = 0.25;

    private static final double TOLERATED_SHARE = 0.01;

    private double mSlots;
    private double mSlotVariance;
    private double mPieces;
    private double mPieceVariance;

    /** Adds an attempt that holds its reservation with the given probability. */
    void add(double probability, int pieces) {
        double variance = probability * (1 - probability);
        mSlots += probability;
        mSlotVariance += variance;
        mPieces += probability * pieces;
        mPieceVariance += variance * pieces * pieces;
    }

    double slots() {
        return mSlots;
    }

    double pieces() {
        return mPieces;
    }

    /**
     * Returns whether the use stays within the limits even at some standard deviations above the
     * mean.
     */
    boolean fitsWithin(int maxSlots, int maxPieces, double deviations) {
        return mSlots + deviations * Math.sqrt(mSlotVariance) <= maxSlots + TOLERATED_SLOTS
                && mPieces + deviations * Math.sqrt(mPieceVariance)
                        <= (double) maxPieces * (1 + TOLERATED_SHARE);
    }
}
