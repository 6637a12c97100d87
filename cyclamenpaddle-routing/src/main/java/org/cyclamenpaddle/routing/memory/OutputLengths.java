package org.cyclamenpaddle.routing.memory;

/**
 * Learns the output lengths of one service from the generations that have ended, and how far they
 * differed from the callers' expectations.
 *
 * <p>Callers' expectations are right in the median only. Until enough generations have ended, they
 * count as exact. Not thread-safe.
 */
public final class OutputLengths {

    /** Generations in the sliding window. */
    private static final int WINDOW = 256;

    /** Generations that must have ended before their lengths replace the expectations. */
    static final int MIN_SAMPLES = 20;

    /** Scale of the ratio of actual to expected length. */
    private static final double PER_MILLE = 1_000;

    private final RecentValues mPrompts = new RecentValues(WINDOW);
    private final RecentValues mExpected = new RecentValues(WINDOW);
    private final RecentValues mGenerated = new RecentValues(WINDOW);
    private final RecentValues mActualPerMilleOfExpected = new RecentValues(WINDOW);

    /** Records a generation that has arrived. */
    public void started(NewGeneration generation) {
        mPrompts.add(generation.promptTokens());
        mExpected.add(generation.expectedTokens());
    }

    /** Returns a generation with the average prompt and output length. */
    public NewGeneration average() {
        return new NewGeneration(Math.round(mPrompts.mean()), Math.round(mean()));
    }

    /** Records the output length of a generation that has ended. */
    public void ended(long expectedTokens, long generatedTokens) {
        mGenerated.add(generatedTokens);
        mActualPerMilleOfExpected.add(
                Math.round(PER_MILLE * generatedTokens / Math.max(1, expectedTokens)));
    }

    /** Returns the survival function over all generations. */
    public SurvivalFunction overallSurvival() {
        return mGenerated.count() < MIN_SAMPLES ? mExpected : mGenerated;
    }

    /** Returns the survival function of a generation with the given expected length. */
    public SurvivalFunction survivalGivenExpected(long expectedTokens) {
        return mGenerated.count() < MIN_SAMPLES
                ? SurvivalFunction.exactly(expectedTokens)
                : mActualPerMilleOfExpected.scaled(Math.max(1, expectedTokens) / PER_MILLE);
    }

    private double mean() {
        return (mGenerated.count() < MIN_SAMPLES ? mExpected : mGenerated).mean();
    }

    /** Returns the length of the longest generation to account for, in tokens. */
    public long longestTokens() {
        return Math.max(mExpected.quantile(1), mGenerated.quantile(1));
    }
}
