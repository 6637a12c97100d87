package org.cyclamenpaddle.routing.memory;

import java.util.List;
import java.util.OptionalLong;
import java.util.stream.LongStream;
import java.util.stream.Stream;

/**
 * Foresees how much memory the generations at an engine will hold together.
 *
 * <p>Generations grow by a token a step and give all back at their end. Room kept for the longest
 * would lie idle for most of its time; room kept for the usual length alone ends in preemption,
 * which reads a prompt again and breaks a stream for longer than callers accept. What counts is the
 * highest sum to come: of all that grow, many end before it is reached.
 *
 * <p>An engine's report is late, and in a burst an engine takes several generations in that time.
 * What is free there now tells how many: each of them holds a usual place. So the room that is
 * asked for is such that, with all that may have come unseen, everything still fits.
 */
public final class MemoryForecast {

    /** Moments that are looked at, evenly spread over the longest generation. */
    private static final int MOMENTS = 12;

    /** Unseen generations that are reckoned with at most. */
    private static final int MOST_UNSEEN = 32;

    /** Steps in which their number is found; the last one is a tenth of a generation wide. */
    private static final int HALVINGS = 9;

    private final OutputLengths mLengths;
    private final double mCaution;

    /**
     * Creates an outlook.
     *
     * @param lengths what is known of generations
     * @param caution standard deviations by which the sum may turn out larger than its mean
     */
    public MemoryForecast(OutputLengths lengths, double caution) {
        mLengths = lengths;
        mCaution = caution;
    }

    /**
     * Returns the tokens that must be free at an engine beside a new generation's place, so that it
     * and those that run can grow to their highest sum.
     *
     * @param engine what the engine runs, as last reported
     * @param more the new generation
     * @return empty if they cannot, whatever is free now
     */
    public OptionalLong requiredFreeTokens(EngineGenerations engine, NewGeneration more) {
        long since = engine.tokensSinceReport();
        List<Growing> known =
                Stream.concat(
                                engine.generations().stream().map(this::reported),
                                Stream.of(begun(more, since)))
                        .toList();
        Growing unseen = begun(mLengths.average(), since);
        List<Sum> sums = moments(since).mapToObj(later -> Sum.of(known, unseen, later)).toList();
        if (!fits(sums, 0, engine.memoryTokens())) {
            return OptionalLong.empty();
        }
        double unseenAtMost = mostUnseen(sums, engine.memoryTokens());
        double usedAtMost = sums.get(0).mean() + unseenAtMost * unseen.place();
        return OptionalLong.of(Math.max(0, Math.round(engine.memoryTokens() - usedAtMost)));
    }

    /** Returns how many unseen generations fit beside the known ones, by halving the interval. */
    private double mostUnseen(List<Sum> sums, long memoryTokens) {
        double fitting = 0;
        double above = MOST_UNSEEN;
        for (int i = 0; i < HALVINGS; i++) {
            double middle = (fitting + above) / 2;
            if (fits(sums, middle, memoryTokens)) {
                fitting = middle;
            } else {
                above = middle;
            }
        }
        return fitting;
    }

    private boolean fits(List<Sum> sums, double unseen, long memoryTokens) {
        return sums.stream().allMatch(sum -> sum.with(unseen, mCaution) <= memoryTokens);
    }

    private LongStream moments(long sinceTokens) {
        long longest = Math.max(1, mLengths.longest());
        return LongStream.rangeClosed(0, MOMENTS)
                .map(moment -> sinceTokens + longest * moment / MOMENTS);
    }

    /** A generation of another host is taken to have been given a place of the usual size. */
    private Growing reported(RunningGeneration run) {
        long prompt = Math.max(0, run.heldTokens() - run.generatedTokens());
        long usual = mLengths.average().expectedTokens();
        return new Growing(mLengths.any(), prompt, run.generatedTokens(), prompt + usual);
    }

    /** A generation that begins now has made nothing when the report was as long ago as it is. */
    private Growing begun(NewGeneration work, long sinceTokens) {
        return new Growing(
                mLengths.expecting(work.expectedTokens()),
                work.promptTokens(),
                -sinceTokens,
                work.reservedTokens());
    }

    /**
     * What generations hold together at one moment.
     *
     * @param mean of the known ones
     * @param variance of the known ones
     * @param unseenMean of one that is not known
     * @param unseenVariance of one that is not known
     */
    private record Sum(double mean, double variance, double unseenMean, double unseenVariance) {

        static Sum of(List<Growing> known, Growing unseen, long laterTokens) {
            return new Sum(
                    known.stream().mapToDouble(each -> each.mean(laterTokens)).sum(),
                    known.stream().mapToDouble(each -> each.variance(laterTokens)).sum(),
                    unseen.mean(laterTokens),
                    unseen.variance(laterTokens));
        }

        double with(double unseen, double caution) {
            return mean
                    + unseen * unseenMean
                    + caution * Math.sqrt(variance + unseen * unseenVariance);
        }
    }

    /**
     * A generation on its way.
     *
     * @param survival how long it may become
     * @param prompt tokens of its prompt
     * @param made tokens that it has made
     * @param place tokens that are kept for it in any case
     */
    private record Growing(SurvivalFunction survival, long prompt, long made, long place) {

        double mean(long laterTokens) {
            return alive(laterTokens) * held(laterTokens);
        }

        double variance(long laterTokens) {
            double alive = alive(laterTokens);
            double held = held(laterTokens);
            return alive * (1 - alive) * held * held;
        }

        private double held(long laterTokens) {
            return Math.max(place, prompt + made + laterTokens);
        }

        private double alive(long laterTokens) {
            double before = survival.outlives(Math.max(0, made));
            // One that is longer than all that were seen says nothing of when it will end.
            return before == 0 ? 1 : survival.outlives(Math.max(0, made + laterTokens)) / before;
        }
    }
}
