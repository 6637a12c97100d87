package org.cyclamenpaddle.routing.grant;

/** Slots and memory pieces expected to be in use at one instant, with their variance. */
final class Occupancy {

    private double mSlots;
    private double mSlotVariance;
    private double mPieces;
    private double mPieceVariance;

    /** Adds an attempt that holds its room with a probability. */
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

    /** Returns whether it stays within limits even some standard deviations above the mean. */
    boolean within(int maxSlots, int maxPieces, double deviations) {
        return mSlots + deviations * Math.sqrt(mSlotVariance) <= maxSlots + 1e-9
                && mPieces + deviations * Math.sqrt(mPieceVariance) <= maxPieces + 1e-9;
    }
}
