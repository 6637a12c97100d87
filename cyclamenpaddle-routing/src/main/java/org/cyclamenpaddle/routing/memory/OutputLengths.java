package org.cyclamenpaddle.routing.memory;

/**
 * What is known of the lengths of one service's answers: those that have ended, and how far off the
 * callers' expectations were.
 *
 * <p>Callers' expectations are right in the median only. Without generations that have ended, they
 * count as exact. Not thread-safe.
 */
public final class OutputLengths {

    /** Generations that are remembered. */
    private static final int WINDOW = 256;

    /** Generations that must have ended before what they tell goes before expectations. */
    static final int ENOUGH = 20;

    /** Resolution of a length over its expectation. */
    private static final double PER_MILLE = 1_000;

    private final RecentValues mPrompts = new RecentValues(WINDOW);
    private final RecentValues mExpected = new RecentValues(WINDOW);
    private final RecentValues mMade = new RecentValues(WINDOW);
    private final RecentValues mOverExpected = new RecentValues(WINDOW);

    /** Notes a generation that has arrived. */
    public void started(NewGeneration work) {
        mPrompts.add(work.promptTokens());
        mExpected.add(work.expectedTokens());
    }

    /** Returns a usual generation. */
    public NewGeneration average() {
        return new NewGeneration(Math.round(mPrompts.mean()), Math.round(mean()));
    }

    /** Notes what a generation has made. */
    public void ended(long expectedTokens, long madeTokens) {
        mMade.add(madeTokens);
        mOverExpected.add(Math.round(PER_MILLE * madeTokens / Math.max(1, expectedTokens)));
    }

    /** Returns the survival of any generation. */
    public SurvivalFunction any() {
        return mMade.count() < ENOUGH ? mExpected : mMade;
    }

    /** Returns the survival of a generation of which so much is expected. */
    public SurvivalFunction expecting(long expectedTokens) {
        return mMade.count() < ENOUGH
                ? SurvivalFunction.exactly(expectedTokens)
                : mOverExpected.scaled(Math.max(1, expectedTokens) / PER_MILLE);
    }

    private double mean() {
        return (mMade.count() < ENOUGH ? mExpected : mMade).mean();
    }

    /** Returns the length of the longest generation to be reckoned with, in tokens. */
    public long longest() {
        return Math.max(mExpected.quantile(1), mMade.quantile(1));
    }
}
