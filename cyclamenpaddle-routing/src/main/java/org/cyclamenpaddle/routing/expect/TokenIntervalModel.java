package org.cyclamenpaddle.routing.expect;

import java.util.HashMap;
import java.util.Map;
import org.cyclamenpaddle.core.id.BackendId;

/**
 * Learns how the time between tokens of a decode engine grows with its batch.
 *
 * <p>A straight line, fitted by least squares with old samples fading out. Not thread-safe.
 */
public final class TokenIntervalModel {

    private static final double FADING = 0.995;
    private static final double ENOUGH = 20;
    private static final double KEPT_SHARE = 0.98;
    private static final double LEAST_SPREAD = 0.5;

    private static final class Fit {

        private double mWeight;
        private double mBatch;
        private double mMillis;
        private double mBatchSquared;
        private double mBatchMillis;

        private void add(double batch, double millis) {
            mWeight = mWeight * FADING + 1;
            mBatch = mBatch * FADING + batch;
            mMillis = mMillis * FADING + millis;
            mBatchSquared = mBatchSquared * FADING + batch * batch;
            mBatchMillis = mBatchMillis * FADING + batch * millis;
        }

        private double slope() {
            double variance = mBatchSquared / mWeight - square(mBatch / mWeight);
            double together = mBatchMillis / mWeight - mBatch / mWeight * (mMillis / mWeight);
            return variance < LEAST_SPREAD ? 0 : Math.max(0, together / variance);
        }

        private double predict(int batch) {
            return mMillis / mWeight + slope() * (batch - mBatch / mWeight);
        }

        private static double square(double value) {
            return value * value;
        }
    }

    private final Map<BackendId, Fit> mFits = new HashMap<>();

    /**
     * Takes in the pace of one stream.
     *
     * @param backend the decode engine
     * @param batch requests it decoded at that time, this one included
     * @param tokenMillis mean time between tokens, in milliseconds
     */
    public void observed(BackendId backend, int batch, double tokenMillis) {
        mFits.computeIfAbsent(backend, any -> new Fit()).add(batch, tokenMillis);
    }

    /**
     * Returns the largest batch whose time between tokens is expected to stay within a target.
     *
     * <p>Safeguard: an engine filled to its last slot can be slower than the target for everyone on
     * it, so that more served means none served well. At least 1, so that a target that can't be
     * met at all leaves a way to learn that it can again.
     *
     * @param backend the decode engine
     * @param targetMillis target for the time between tokens, in milliseconds
     * @param slots slots of the engine
     */
    public int maxBatchWithin(BackendId backend, long targetMillis, int slots) {
        Fit fit = mFits.get(backend);
        if (fit == null || fit.mWeight < ENOUGH || fit.slope() == 0) {
            return slots;
        }
        int batch = slots;
        while (batch > 1 && fit.predict(batch) > KEPT_SHARE * targetMillis) {
            batch--;
        }
        return batch;
    }

    /** Forgets an engine, such as one that has another model. */
    public void remove(BackendId backend) {
        mFits.remove(backend);
    }
}
