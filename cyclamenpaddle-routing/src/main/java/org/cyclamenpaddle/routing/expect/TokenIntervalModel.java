package org.cyclamenpaddle.routing.expect;

import java.util.HashMap;
import java.util.Map;
import org.cyclamenpaddle.core.id.BackendId;

/**
 * Learns how the time between tokens of a decode engine grows with its batch size.
 *
 * <p>A linear regression by least squares with exponentially decaying weights. Not thread-safe.
 */
public final class TokenIntervalModel {

    private static final double DECAY = 0.995;
    private static final double MIN_WEIGHT = 20;
    private static final double TARGET_SHARE = 0.98;
    private static final double MIN_BATCH_VARIANCE = 0.5;

    private static final class Fit {

        private double mWeight;
        private double mBatch;
        private double mMillis;
        private double mBatchSquared;
        private double mBatchMillis;

        private void add(double batch, double millis) {
            mWeight = mWeight * DECAY + 1;
            mBatch = mBatch * DECAY + batch;
            mMillis = mMillis * DECAY + millis;
            mBatchSquared = mBatchSquared * DECAY + batch * batch;
            mBatchMillis = mBatchMillis * DECAY + batch * millis;
        }

        private double slope() {
            double variance = mBatchSquared / mWeight - square(mBatch / mWeight);
            double covariance = mBatchMillis / mWeight - mBatch / mWeight * (mMillis / mWeight);
            return variance < MIN_BATCH_VARIANCE ? 0 : Math.max(0, covariance / variance);
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
     * Records the mean time between tokens of one stream.
     *
     * @param backend the decode engine
     * @param batch requests that it decoded at that time, this one included
     * @param tokenMillis mean time between tokens, in milliseconds
     */
    public void observed(BackendId backend, int batch, double tokenMillis) {
        mFits.computeIfAbsent(backend, any -> new Fit()).add(batch, tokenMillis);
    }

    /**
     * Returns the largest batch whose time between tokens is expected to stay within a target.
     *
     * <p>Safeguard: an engine that is filled to its last slot can exceed the target for all of its
     * requests, so that serving more of them serves none well. The result is at least 1, so that an
     * engine that cannot meet the target at all still provides samples from which a recovery is
     * learned.
     *
     * @param backend the decode engine
     * @param targetMillis target for the time between tokens, in milliseconds
     * @param slots slots of the engine
     */
    public int maxBatchWithin(BackendId backend, long targetMillis, int slots) {
        Fit fit = mFits.get(backend);
        if (fit == null || fit.mWeight < MIN_WEIGHT || fit.slope() == 0) {
            return slots;
        }
        int batch = slots;
        while (batch > 1 && fit.predict(batch) > TARGET_SHARE * targetMillis) {
            batch--;
        }
        return batch;
    }

    /** Removes an engine, for example one that has another model. */
    public void remove(BackendId backend) {
        mFits.remove(backend);
    }
}
