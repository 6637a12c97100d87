package org.cyclamenpaddle.routing.memory;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * Decode engines in virtual time, filled by hosts that each know only late reports.
 *
 * <p>Memory goes by tokens; a generation holds its place or what it has grown to, whichever is
 * more. When an engine runs out, the newest generation that has outgrown its place is preempted.
 */
final class EnginePoolModel {

    /**
     * What a pool and its load look like.
     *
     * @param engines decode engines
     * @param memoryTokens memory of each
     * @param promptTokens mean prompt
     * @param outputTokens mean answer
     * @param spread spread of both, and of callers' expectations (logarithmic)
     * @param calmPerSecond generations a second
     * @param burstPerSecond the same within bursts
     */
    record Shape(
            int engines,
            long memoryTokens,
            long promptTokens,
            long outputTokens,
            double spread,
            double calmPerSecond,
            double burstPerSecond) {}

    /** What became of all generations. */
    record Outcome(int generations, int placed, int preempted) {

        double preemptedShare() {
            return (double) preempted / Math.max(1, generations);
        }

        double wellShare() {
            return (double) (placed - preempted) / Math.max(1, generations);
        }
    }

    /** Decides how much must be free at an engine beside a generation's place. */
    interface Policy {
        OptionalLong room(MemoryForecast outlook, EngineGenerations work, NewGeneration more);
    }

    private static final int HOSTS = 6;
    private static final long LENGTH_MILLIS = 40_000;
    private static final long BURST_EVERY_MILLIS = 10_000;
    private static final long BURST_MILLIS = 4_000;
    private static final long REPORT_LAG_MILLIS = 900;
    private static final long STEP_MILLIS = 50;
    private static final long WAIT_MILLIS = 500;
    private static final double CAUTION = 1;

    private record Waiting(long sinceMillis, int host, NewGeneration work, long length) {}

    private record Run(long startMillis, NewGeneration work, long length, int host) {

        long made(long nowMillis) {
            return Math.min(length, nowMillis - startMillis);
        }

        long place() {
            return work.reservedTokens();
        }

        long held(long nowMillis) {
            return Math.max(place(), work.promptTokens() + made(nowMillis));
        }

        boolean outgrown(long nowMillis) {
            return work.promptTokens() + made(nowMillis) > place();
        }

        RunningGeneration reported(long nowMillis) {
            return new RunningGeneration(work.promptTokens() + made(nowMillis), made(nowMillis));
        }
    }

    private final Shape mShape;
    private final Random mRandom;
    private final Policy mPolicy;
    private final List<List<Run>> mEngines = new ArrayList<>();
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

    Outcome play() {
        for (long now = 0; now < LENGTH_MILLIS; now += STEP_MILLIS) {
            long moment = now;
            mEngines.forEach(engine -> endAndPreempt(engine, moment));
            mHistory.add(mEngines.stream().map(engine -> reports(engine, moment)).toList());
            arrive(now);
            place(now);
        }
        return new Outcome(mGenerations, mPlaced, mPreempted);
    }

    private static List<RunningGeneration> reports(List<Run> engine, long nowMillis) {
        return engine.stream().map(run -> run.reported(nowMillis)).toList();
    }

    private void endAndPreempt(List<Run> engine, long nowMillis) {
        engine.stream()
                .filter(run -> run.made(nowMillis) >= run.length())
                .forEach(
                        run ->
                                mLengths.get(run.host())
                                        .ended(run.work().expectedTokens(), run.length()));
        engine.removeIf(run -> run.made(nowMillis) >= run.length());
        while (used(engine, nowMillis) > mShape.memoryTokens()) {
            Optional<Run> newest =
                    engine.stream()
                            .filter(run -> run.outgrown(nowMillis))
                            .max(Comparator.comparing(Run::startMillis));
            engine.remove(newest.orElseThrow());
            mPreempted++;
        }
    }

    private static long used(List<Run> engine, long nowMillis) {
        return engine.stream().mapToLong(run -> run.held(nowMillis)).sum();
    }

    private void arrive(long nowMillis) {
        boolean burst = nowMillis % BURST_EVERY_MILLIS > BURST_EVERY_MILLIS - BURST_MILLIS;
        double perSecond = burst ? mShape.burstPerSecond() : mShape.calmPerSecond();
        double perStep = perSecond * STEP_MILLIS / 1_000;
        for (double left = perStep; mRandom.nextDouble() < left; left--) {
            long length = drawn(mShape.outputTokens());
            NewGeneration work = new NewGeneration(drawn(mShape.promptTokens()), drawn(length));
            int host = mRandom.nextInt(HOSTS);
            mLengths.get(host).started(work);
            mWaiting.add(new Waiting(nowMillis, host, work, length));
            mGenerations++;
        }
    }

    private long drawn(long median) {
        double drawn = median * Math.exp(mShape.spread() * mRandom.nextGaussian());
        return Math.max(50, Math.min(2L * median, Math.round(drawn)));
    }

    private void place(long nowMillis) {
        mWaiting.removeIf(waiting -> nowMillis - waiting.sinceMillis() > WAIT_MILLIS);
        mWaiting.removeIf(waiting -> taken(waiting, nowMillis));
    }

    private boolean taken(Waiting waiting, long nowMillis) {
        int first = mRandom.nextInt(mEngines.size());
        return IntStream.range(0, mEngines.size())
                .map(i -> (first + i) % mEngines.size())
                .anyMatch(engine -> takenAt(engine, waiting, nowMillis));
    }

    private boolean takenAt(int engine, Waiting waiting, long nowMillis) {
        int lag = (int) (REPORT_LAG_MILLIS / STEP_MILLIS);
        int at = Math.max(0, mHistory.size() - 1 - lag);
        EngineGenerations work =
                new EngineGenerations(
                        mShape.memoryTokens(), mHistory.get(at).get(engine), REPORT_LAG_MILLIS);
        MemoryForecast outlook = new MemoryForecast(mLengths.get(waiting.host()), CAUTION);
        Run run = new Run(nowMillis, waiting.work(), waiting.length(), waiting.host());
        long free = mShape.memoryTokens() - used(mEngines.get(engine), nowMillis);
        OptionalLong room = mPolicy.room(outlook, work, waiting.work());
        boolean takes = room.isPresent() && free >= run.place() + room.getAsLong();
        if (takes) {
            mEngines.get(engine).add(run);
            mPlaced++;
        }
        return takes;
    }
}
