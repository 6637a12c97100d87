package org.cyclamenpaddle.relay.backend;

/**
 * Exponential moving average that decays towards 0 while no samples are added.
 *
 * <p>The decay lets a server with bad past results be selected again without an explicit reset,
 * because old samples indicate little about its present condition. Not thread-safe.
 */
final class MovingAverage {

    private final double mNewestWeight;
    private final double mHalfLifeMillis;
    private double mMean;
    private long mUpdatedMillis;

    /**
     * Creates an average with the initial value 0.
     *
     * @param newestWeight weight of the newest sample, from 0 to 1
     * @param halfLifeMillis time in which the average decays to half, in milliseconds
     */
    MovingAverage(double newestWeight, double halfLifeMillis) {
        mNewestWeight = newestWeight;
        mHalfLifeMillis = halfLifeMillis;
    }

    /** Adds a sample. */
    void add(double sample, long nowMillis) {
        double old = value(nowMillis);
        mMean = old + mNewestWeight * (sample - old);
        mUpdatedMillis = nowMillis;
    }

    /** Returns the average, decayed by the time since the last sample. */
    double value(long nowMillis) {
        double halvings = Math.max(0, nowMillis - mUpdatedMillis) / mHalfLifeMillis;
        return mMean * Math.pow(0.5, halvings);
    }
}
