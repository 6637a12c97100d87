package org.cyclamenpaddle.routing.memory;

import java.util.List;
import java.util.OptionalLong;
import java.util.stream.LongStream;
import java.util.stream.Stream;

/**
 * Forecasts the peak memory that the generations on an engine will hold together.
 *
 * <p>Generations grow by a token per step and release all memory at their end. Memory reserved for
 * the longest would be idle for most of the time; memory reserved for the average length alone
 * leads to preemption, which reruns the prefill and interrupts a stream for longer than callers
 * accept. What counts is the future peak of the sum: many of the growing generations end before it
 * is reached.
 *
 * <p>An engine's report is late, and in a burst an engine takes several generations in that time.
 * Its free memory now shows how many: each of them holds an average reservation. The required free
 * memory is therefore such that everything still fits, including all generations that may have
 * started since the report.
 */
public final class MemoryForecast {

    /** Future points that are evaluated, evenly spread over the longest generation. */
    private static final int SAMPLE_POINTS = 12;

    /** Maximum number of unreported generations that are considered. */
    private static final int MAX_UNREPORTED = 32;

    /** Bisection steps that find their number; the last one is a tenth of a generation wide. */
    private static final int BISECTION_STEPS = 9;

    private final OutputLengths mLengths;
    private final double mSafetyDeviations;

    /**
     * Creates a forecast.
     *
     * @param lengths learned lengths of generations
     * @param safetyDeviations standard deviations by which the sum may exceed its mean
     */
    public MemoryForecast(OutputLengths lengths, double safetyDeviations) {
        mLengths = lengths;
        mSafetyDeviations = safetyDeviations;
    }

    /**
     * Returns the tokens that must be free on an engine beside a new generation's reservation, so
     * that it and the running ones can grow to their peak.
     *
     * @param engine the engine's generations, as last reported
     * @param added the new generation
     * @return empty if they cannot, whatever is free now
     */
    public OptionalLong requiredFreeTokens(EngineGenerations engine, NewGeneration added) {
        long sinceTokens = engine.tokensSinceReport();
        List<GenerationForecast> known =
                Stream.concat(
                                engine.generations().stream().map(this::reported),
                                Stream.of(starting(added, sinceTokens)))
                        .toList();
        GenerationForecast unreported = starting(mLengths.average(), sinceTokens);
        List<MemoryUse> uses =
                samplePoints(sinceTokens)
                        .mapToObj(laterTokens -> MemoryUse.of(known, unreported, laterTokens))
                        .toList();
        if (!fits(uses, 0, engine.memoryTokens())) {
            return OptionalLong.empty();
        }
        double maxUnreported = maxUnreported(uses, engine.memoryTokens());
        double maxUsed = uses.get(0).mean() + maxUnreported * unreported.reserved();
        return OptionalLong.of(Math.max(0, Math.round(engine.memoryTokens() - maxUsed)));
    }

    /** Returns by bisection how many unreported generations fit beside the known ones. */
    private double maxUnreported(List<MemoryUse> uses, long memoryTokens) {
        double fits = 0;
        double tooMany = MAX_UNREPORTED;
        for (int i = 0; i < BISECTION_STEPS; i++) {
            double count = (fits + tooMany) / 2;
            if (fits(uses, count, memoryTokens)) {
                fits = count;
            } else {
                tooMany = count;
            }
        }
        return fits;
    }

    private boolean fits(List<MemoryUse> uses, double unreported, long memoryTokens) {
        return uses.stream()
                .allMatch(use -> use.upperBound(unreported, mSafetyDeviations) <= memoryTokens);
    }

    private LongStream samplePoints(long sinceTokens) {
        long longest = Math.max(1, mLengths.longestTokens());
        return LongStream.rangeClosed(0, SAMPLE_POINTS)
                .map(point -> sinceTokens + longest * point / SAMPLE_POINTS);
    }

    /** A generation of another host is assumed to have a reservation of the average size. */
    private GenerationForecast reported(RunningGeneration generation) {
        long prompt = Math.max(0, generation.heldTokens() - generation.generatedTokens());
        long averageOutput = mLengths.average().expectedTokens();
        return new GenerationForecast(
                mLengths.overallSurvival(),
                prompt,
                generation.generatedTokens(),
                prompt + averageOutput);
    }

    /**
     * A generation that starts now had generated nothing at the time of the report, hence the
     * negative offset.
     */
    private GenerationForecast starting(NewGeneration generation, long sinceTokens) {
        return new GenerationForecast(
                mLengths.survivalGivenExpected(generation.expectedTokens()),
                generation.promptTokens(),
                -sinceTokens,
                generation.reservedTokens());
    }

    /**
     * Memory that generations hold together at one point in time.
     *
     * @param mean mean of the known ones
     * @param variance variance of the known ones
     * @param unreportedMean mean of one unreported generation
     * @param unreportedVariance variance of one unreported generation
     */
    private record MemoryUse(
            double mean, double variance, double unreportedMean, double unreportedVariance) {

        static MemoryUse of(
                List<GenerationForecast> known, GenerationForecast unreported, long laterTokens) {
            return new MemoryUse(
                    known.stream().mapToDouble(each -> each.mean(laterTokens)).sum(),
                    known.stream().mapToDouble(each -> each.variance(laterTokens)).sum(),
                    unreported.mean(laterTokens),
                    unreported.variance(laterTokens));
        }

        double upperBound(double unreported, double safetyDeviations) {
            return mean
                    + unreported * unreportedMean
                    + safetyDeviations * Math.sqrt(variance + unreported * unreportedVariance);
        }
    }

    /**
     * Forecast of one generation.
     *
     * @param survival distribution of its length
     * @param prompt tokens of its prompt
     * @param generated tokens that it has generated
     * @param reserved tokens that are reserved for it in any case
     */
    private record GenerationForecast(
            SurvivalFunction survival, long prompt, long generated, long reserved) {

        double mean(long laterTokens) {
            return runningProbability(laterTokens) * held(laterTokens);
        }

        double variance(long laterTokens) {
            double running = runningProbability(laterTokens);
            double held = held(laterTokens);
            return running * (1 - running) * held * held;
        }

        private double held(long laterTokens) {
            return Math.max(reserved, prompt + generated + laterTokens);
        }

        private double runningProbability(long laterTokens) {
            double before = survival.survival(Math.max(0, generated));
            // Nothing is known of the end of a generation longer than all recorded ones.
            return before == 0
                    ? 1
                    : survival.survival(Math.max(0, generated + laterTokens)) / before;
        }
    }
}
