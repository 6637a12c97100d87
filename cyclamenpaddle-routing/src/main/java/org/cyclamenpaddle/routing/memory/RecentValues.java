package org.cyclamenpaddle.routing.memory;

import java.util.Arrays;

/**
 * Sliding window over the most recent values of a measurement, with their distribution. Not
 * thread-safe.
 */
public final class RecentValues implements SurvivalFunction {

    private final long[] mValues;
    private int mCount;
    private int mNext;
    private long[] mSorted = new long[0];

    /**
     * Creates an empty window.
     *
     * @param size number of values in the window
     */
    public RecentValues(int size) {
        if (size < 1) {
            throw new IllegalArgumentException(
                    "window size must be at least 1: " + size + " values");
        }
        mValues = new long[size];
    }

    /** Adds a value; the oldest one is dropped if the window is full. */
    public void add(long value) {
        mValues[mNext] = value;
        mNext = (mNext + 1) % mValues.length;
        mCount = Math.min(mValues.length, mCount + 1);
        mSorted = new long[0];
    }

    /** Returns the number of values in the window. */
    public int count() {
        return mCount;
    }

    /**
     * Returns the value that the given share of all values does not exceed; 0 if the window is
     * empty.
     */
    public long quantile(double share) {
        if (mCount == 0) {
            return 0;
        }
        int rank = (int) Math.ceil(share * mCount) - 1;
        return sorted()[Math.max(0, Math.min(mCount - 1, rank))];
    }

    /** Returns the mean; 0 if the window is empty. */
    public double mean() {
        return Arrays.stream(mValues, 0, mCount).average().orElse(0);
    }

    @Override
    public double survival(long tokens) {
        if (mCount == 0) {
            return 0;
        }
        long[] sorted = sorted();
        int at = Arrays.binarySearch(sorted, tokens);
        int above = at < 0 ? -at - 1 : at + 1;
        while (above < mCount && sorted[above] == tokens) {
            above++;
        }
        return (double) (mCount - above) / mCount;
    }

    private long[] sorted() {
        if (mSorted.length != mCount) {
            mSorted = Arrays.copyOf(mValues, mCount);
            Arrays.sort(mSorted);
        }
        return mSorted;
    }
}
