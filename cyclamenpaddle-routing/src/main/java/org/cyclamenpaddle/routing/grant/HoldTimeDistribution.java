package org.cyclamenpaddle.routing.grant;

/**
 * Distribution of how long attempts hold a slot relative to the expected time, learned from ended
 * attempts.
 *
 * <p>Half of all responses are longer than their median, and the end of a single one cannot be
 * predicted; but for twenty running ones the number that ends within half a second can be. Until
 * enough is learned, an exponential prior is used, which expects the same remaining time of each
 * attempt whatever its age. Old samples decay by halving. Not thread-safe.
 */
final class HoldTimeDistribution {

    private static final int BINS_PER_UNIT = 16;
    private static final int BINS = 8 * BINS_PER_UNIT;
    private static final double PRIOR_SAMPLES = 10;
    private static final double MAX_SAMPLES = 1_000;

    private final double[] mEndedInBin = new double[BINS];
    private final double[] mLongerThanBin = new double[BINS + 1];

    private double mSamples;
    private boolean mStale = true;

    /** Records an attempt that has ended. */
    void record(long expectedMillis, long actualMillis) {
        if (expectedMillis <= 0 || actualMillis < 0) {
            return;
        }
        double ratio = (double) actualMillis / expectedMillis;
        int bin = (int) Math.min(BINS - 1, ratio * BINS_PER_UNIT);
        mEndedInBin[bin]++;
        mSamples++;
        if (mSamples > MAX_SAMPLES) {
            halve();
        }
        mStale = true;
    }

    /**
     * Returns the probability that an attempt is still running after a further time.
     *
     * @param expectedMillis expected total time
     * @param elapsedMillis time for which it has run
     * @param furtherMillis further time
     */
    double survival(long expectedMillis, long elapsedMillis, long furtherMillis) {
        if (furtherMillis <= 0) {
            return 1;
        }
        double expected = Math.max(1, expectedMillis);
        double before = longerThan(elapsedMillis / expected);
        double after = longerThan((elapsedMillis + furtherMillis) / expected);
        return after / before;
    }

    private double longerThan(double ratio) {
        if (mStale) {
            recompute();
        }
        double position = Math.min(BINS, ratio * BINS_PER_UNIT);
        int bin = (int) Math.min(BINS - 1, position);
        double part = position - bin;
        return mLongerThanBin[bin] * (1 - part) + mLongerThanBin[bin + 1] * part;
    }

    private void recompute() {
        double samples = 0;
        mLongerThanBin[BINS] = prior(BINS);
        for (int bin = BINS - 1; bin >= 0; bin--) {
            samples += mEndedInBin[bin];
            mLongerThanBin[bin] = samples + prior(bin);
        }
        mStale = false;
    }

    private static double prior(int bin) {
        return PRIOR_SAMPLES * Math.exp(-(double) bin / BINS_PER_UNIT);
    }

    private void halve() {
        mSamples /= 2;
        for (int bin = 0; bin < BINS; bin++) {
            mEndedInBin[bin] /= 2;
        }
    }
}
