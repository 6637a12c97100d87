package org.cyclamenpaddle.routing.grant;

/**
 * How long attempts hold a slot compared with what was expected of them, learned from those that
 * ended.
 *
 * <p>Half of all answers are longer than their median, and no single one's end can be told in
 * advance; but of twenty running ones it can be told how many will have ended in half a second.
 * Until enough was learned an exponential distribution stands in, which expects of each attempt the
 * same whatever its age. Old samples are forgotten by halves. Not thread-safe.
 */
final class HoldCurve {

    private static final int BINS_PER_UNIT = 16;
    private static final int BINS = 8 * BINS_PER_UNIT;
    private static final double PRIOR_SAMPLES = 10;
    private static final double MOST_SAMPLES = 1_000;

    private final double[] mEndedInBin = new double[BINS];
    private final double[] mLongerThanBin = new double[BINS + 1];

    private double mSamples;
    private boolean mStale = true;

    /** Takes in an attempt that ended. */
    void ended(long expectedMillis, long actualMillis) {
        if (expectedMillis <= 0 || actualMillis < 0) {
            return;
        }
        double ratio = (double) actualMillis / expectedMillis;
        int bin = (int) Math.min(BINS - 1, ratio * BINS_PER_UNIT);
        mEndedInBin[bin]++;
        mSamples++;
        if (mSamples > MOST_SAMPLES) {
            halve();
        }
        mStale = true;
    }

    /**
     * Returns the chance that an attempt is still running after a further time.
     *
     * @param expectedMillis how long it was expected to run in all
     * @param elapsedMillis how long it has run
     * @param furtherMillis how much longer
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
            sum();
        }
        double position = Math.min(BINS, ratio * BINS_PER_UNIT);
        int bin = (int) Math.min(BINS - 1, position);
        double part = position - bin;
        return mLongerThanBin[bin] * (1 - part) + mLongerThanBin[bin + 1] * part;
    }

    private void sum() {
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
