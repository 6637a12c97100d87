package org.cyclamenpaddle.relay.backend;

/**
 * Mean of readings in which the newest counts most, and which fades to 0 while none come.
 *
 * <p>What was seen of a server long ago says little about it now, so that a bad one is tried again
 * by itself. Not thread-safe.
 */
final class MovingAverage {

    private final double mNewestWeight;
    private final double mHalfLifeMillis;
    private double mMean;
    private long mAtMillis;

    /**
     * Creates a mean of 0.
     *
     * @param newestWeight weight of the newest reading, from 0 to 1
     * @param halfLifeMillis time after which half of the mean is forgotten
     */
    MovingAverage(double newestWeight, double halfLifeMillis) {
        mNewestWeight = newestWeight;
        mHalfLifeMillis = halfLifeMillis;
    }

    /** Takes in a reading. */
    void add(double reading, long nowMillis) {
        double old = at(nowMillis);
        mMean = old + mNewestWeight * (reading - old);
        mAtMillis = nowMillis;
    }

    /** Returns the mean, faded by the time since the newest reading. */
    double at(long nowMillis) {
        double halvings = Math.max(0, nowMillis - mAtMillis) / mHalfLifeMillis;
        return mMean * Math.pow(0.5, halvings);
    }
}
