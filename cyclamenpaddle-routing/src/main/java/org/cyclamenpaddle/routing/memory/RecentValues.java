package org.cyclamenpaddle.routing.memory;

import java.util.Arrays;

/** The last values of something that is observed, and how they are distributed; not thread-safe. */
public final class RecentValues implements SurvivalFunction {

    private final long[] mValues;
    private int mCount;
    private int mNext;
    private long[] mSorted = new long[0];

    /**
     * Creates a window without values.
     *
     * @param size values that are remembered
     */
    public RecentValues(int size) {
        if (size < 1) {
            throw new IllegalArgumentException("a window of " + size + " values");
        }
        mValues = new long[size];
    }

    /** Takes in a value; the oldest one is forgotten if the window is full. */
    public void add(long value) {
        mValues[mNext] = value;
        mNext = (mNext + 1) % mValues.length;
        mCount = Math.min(mValues.length, mCount + 1);
        mSorted = new long[0];
    }

    /** Returns the number of values. */
    public int count() {
        return mCount;
    }

    /** Returns the value that a share of all values does not exceed; 0 without any. */
    public long quantile(double share) {
        if (mCount == 0) {
            return 0;
        }
        int rank = (int) Math.ceil(share * mCount) - 1;
        return sorted()[Math.max(0, Math.min(mCount - 1, rank))];
    }

    /** Returns the mean; 0 without any. */
    public double mean() {
        return Arrays.stream(mValues, 0, mCount).average().orElse(0);
    }

    @Override
    public double outlives(long tokens) {
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
