package org.cyclamenpaddle.routing.limit;

/** Rate at which amounts are added, averaged with exponentially decaying weights. */
final class DecayingRate {

    private static final double MILLIS_PER_SECOND = 1_000;

    private final double mTimeConstantMillis;
    private double mSum;
    private long mAtMillis;

    /**
     * Creates a rate of 0.
     *
     * @param timeConstantMillis time in which the weight of an amount falls by the factor e
     */
    DecayingRate(double timeConstantMillis) {
        mTimeConstantMillis = timeConstantMillis;
    }

    void add(double amount, long nowMillis) {
        decay(nowMillis);
        mSum += amount;
    }

    double perSecond(long nowMillis) {
        decay(nowMillis);
        return mSum / mTimeConstantMillis * MILLIS_PER_SECOND;
    }

    private void decay(long nowMillis) {
        mSum *= Math.exp(-Math.max(0, nowMillis - mAtMillis) / mTimeConstantMillis);
        mAtMillis = Math.max(mAtMillis, nowMillis);
    }
}
