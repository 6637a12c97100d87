package org.cyclamenpaddle.routing.grant;

/** Slots and memory pieces expected to be in use at one instant, with their variance. */
final class Occupancy {

    /** A server with one slot would else never be promised before it is free. */
    private static final double TOLERATED_SLOTS = 0.25;

    private static final double TOLERATED_SHARE = 0.01;

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
        return mSlots + deviations * Math.sqrt(mSlotVariance) <= maxSlots + TOLERATED_SLOTS
                && mPieces + deviations * Math.sqrt(mPieceVariance)
                        <= (double) maxPieces * (1 + TOLERATED_SHARE);
    }
}
