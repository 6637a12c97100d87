package org.cyclamenpaddle.routing.memory;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * Simulates decode engines in virtual time, loaded by hosts that each know only late reports.
 *
 * <p>Memory is counted in tokens; a generation holds its reservation or what it has grown to,
 * whichever is more. When an engine runs out of memory, the newest generation that exceeds its
 * reservation is preempted.
 */
final class EnginePoolModel {

    /**
     * Parameters of a pool and its load.
     *
     * @param engines decode engines
     * @param memoryTokens memory of each
     * @param promptTokens mean prompt length
     * @param outputTokens mean output length
     * @param spread spread of both, and of callers' expectations (logarithmic)
     * @param calmPerSecond generations per second outside bursts
     * @param burstPerSecond generations per second within bursts
     */
    record Shape(
            int engines,
            long memoryTokens,
            long promptTokens,
            long outputTokens,
            double spread,
            double calmPerSecond,
            double burstPerSecond) {}

    /** Outcome of all generations. */
    record Outcome(int generations, int placed, int preempted) {

        double preemptedShare() {
            return (double) preempted / Math.max(1, generations);
        }

        double undisturbedShare() {
            return (double) (placed - preempted) / Math.max(1, generations);
        }
    }

    /** Decides how much memory must be free on an engine beside a generation's reservation. */
    interface Policy {
        OptionalLong requiredFreeTokens(
                MemoryForecast forecast, EngineGenerations report, NewGeneration added);
    }

    private static final int HOSTS = 6;
    private static final long LENGTH_MILLIS = 40_000;
    private static final long BURST_EVERY_MILLIS = 10_000;
    private static final long BURST_MILLIS = 4_000;
    private static final long REPORT_LAG_MILLIS = 900;
    private static final long STEP_MILLIS = 50;
    private static final long WAIT_MILLIS = 500;
    private static final double SAFETY_DEVIATIONS = 1;

    private record Waiting(long sinceMillis, int host, NewGeneration generation, long length) {}

    private record SimulatedGeneration(
            long startMillis, NewGeneration generation, long length, int host) {

        long generated(long nowMillis) {
            return Math.min(length, nowMillis - startMillis);
        }

        long reserved() {
            return generation.reservedTokens();
        }

        long held(long nowMillis) {
            return Math.max(reserved(), generation.promptTokens() + generated(nowMillis));
        }

        boolean exceedsReservation(long nowMillis) {
            return generation.promptTokens() + generated(nowMillis) > reserved();
        }

        RunningGeneration reported(long nowMillis) {
            return new RunningGeneration(
                    generation.promptTokens() + generated(nowMillis), generated(nowMillis));
        }
    }

    private final Shape mShape;
    private final Random mRandom;
    private final Policy mPolicy;
    private final List<List<SimulatedGeneration>> mEngines = new ArrayList<>();
    private final List<List<List<RunningGeneration>>> mHistory = new ArrayList<>();
    private final List<OutputLengths> mLengths = new ArrayList<>();
    private final List<Waiting> mWaiting = new ArrayList<>();
    private int mGenerations;
    private int mPlaced;
    private int mPreempted;

    EnginePoolModel(Shape shape, long seed, Policy policy) {
        mShape = shape;
        mRandom = new Random(seed);
        mPolicy = policy;
        IntStream.range(0, shape.engines()).forEach(i -> mEngines.add(new ArrayList<>()));
        IntStream.range(0, HOSTS).forEach(i -> mLengths.add(new OutputLengths()));
    }

    Outcome run() {
        for (long now = 0; now < LENGTH_MILLIS; now += STEP_MILLIS) {
            long currentMillis = now;
            mEngines.forEach(engine -> endAndPreempt(engine, currentMillis));
            mHistory.add(mEngines.stream().map(engine -> reports(engine, currentMillis)).toList());
            arrive(now);
            admitWaiting(now);
        }
        return new Outcome(mGenerations, mPlaced, mPreempted);
    }

    private static List<RunningGeneration> reports(
            List<SimulatedGeneration> engine, long nowMillis) {
        return engine.stream().map(generation -> generation.reported(nowMillis)).toList();
    }

    private void endAndPreempt(List<SimulatedGeneration> engine, long nowMillis) {
        engine.stream()
                .filter(generation -> generation.generated(nowMillis) >= generation.length())
                .forEach(
                        generation ->
                                mLengths.get(generation.host())
                                        .ended(
                                                generation.generation().expectedTokens(),
                                                generation.length()));
        engine.removeIf(generation -> generation.generated(nowMillis) >= generation.length());
        while (used(engine, nowMillis) > mShape.memoryTokens()) {
            Optional<SimulatedGeneration> newest =
                    engine.stream()
                            .filter(generation -> generation.exceedsReservation(nowMillis))
                            .max(Comparator.comparing(SimulatedGeneration::startMillis));
            engine.remove(newest.orElseThrow());
            mPreempted++;
        }
    }

    private static long used(List<SimulatedGeneration> engine, long nowMillis) {
        return engine.stream().mapToLong(generation -> generation.held(nowMillis)).sum();
    }

    private void arrive(long nowMillis) {
        boolean burst = nowMillis % BURST_EVERY_MILLIS > BURST_EVERY_MILLIS - BURST_MILLIS;
        double perSecond = burst ? mShape.burstPerSecond() : mShape.calmPerSecond();
        double perStep = perSecond * STEP_MILLIS / 1_000;
        for (double left = perStep; mRandom.nextDouble() < left; left--) {
            long length = draw(mShape.outputTokens());
            NewGeneration generation = new NewGeneration(draw(mShape.promptTokens()), draw(length));
            int host = mRandom.nextInt(HOSTS);
            mLengths.get(host).started(generation);
            mWaiting.add(new Waiting(nowMillis, host, generation, length));
            mGenerations++;
        }
    }

    private long draw(long median) {
        double sample = median * Math.exp(mShape.spread() * mRandom.nextGaussian());
        return Math.max(50, Math.min(2L * median, Math.round(sample)));
    }

    private void admitWaiting(long nowMillis) {
        mWaiting.removeIf(waiting -> nowMillis - waiting.sinceMillis() > WAIT_MILLIS);
        mWaiting.removeIf(waiting -> admitted(waiting, nowMillis));
    }

    private boolean admitted(Waiting waiting, long nowMillis) {
        int first = mRandom.nextInt(mEngines.size());
        return IntStream.range(0, mEngines.size())
                .map(i -> (first + i) % mEngines.size())
                .anyMatch(engine -> admittedAt(engine, waiting, nowMillis));
    }

    private boolean admittedAt(int engine, Waiting waiting, long nowMillis) {
        int lag = (int) (REPORT_LAG_MILLIS / STEP_MILLIS);
        int at = Math.max(0, mHistory.size() - 1 - lag);
        EngineGenerations report =
                new EngineGenerations(
                        mShape.memoryTokens(), mHistory.get(at).get(engine), REPORT_LAG_MILLIS);
        MemoryForecast forecast =
                new MemoryForecast(mLengths.get(waiting.host()), SAFETY_DEVIATIONS);
        SimulatedGeneration generation =
                new SimulatedGeneration(
                        nowMillis, waiting.generation(), waiting.length(), waiting.host());
        long free = mShape.memoryTokens() - used(mEngines.get(engine), nowMillis);
        OptionalLong required = mPolicy.requiredFreeTokens(forecast, report, waiting.generation());
        boolean fits = required.isPresent() && free >= generation.reserved() + required.getAsLong();
        if (fits) {
            mEngines.get(engine).add(generation);
            mPlaced++;
        }
        return fits;
    }
}
