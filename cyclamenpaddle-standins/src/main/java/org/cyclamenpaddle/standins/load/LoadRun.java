package org.cyclamenpaddle.standins.load;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.cyclamenpaddle.core.config.BackendRole;
import org.cyclamenpaddle.standins.deployment.Deployment;
import org.cyclamenpaddle.standins.engine.EngineCounts;
import org.cyclamenpaddle.standins.engine.EngineSettings;
import org.cyclamenpaddle.standins.report.RunSummary;

/** One load run: sends a plan, waits for every answer, and sums up. */
public final class LoadRun {

    private static final EngineCounts NO_COUNTS = new EngineCounts(0, 0, 0, 0, 0, 0);
    private static final double NANOS_PER_MICRO = 1_000;
    private static final int HELD_TRIES = 100;
    private static final long HELD_PAUSE_NANOS = 100_000_000;

    private final LoadOptions mOptions;
    private final List<EngineProbe> mEngines;
    private final EntryProbe mEntries;
    private final RunnerKiller mKiller;
    private final LatencyRecorder mLatencies = new LatencyRecorder();

    /** Creates a run that has sent nothing yet. */
    public LoadRun(LoadOptions options) {
        mOptions = options;
        mEngines = options.engines().stream().map(EngineProbe::new).collect(Collectors.toList());
        mEntries = new EntryProbe(options.entries());
        mKiller = new RunnerKiller(mEngines, options.speed(), options.seed());
    }

    /**
     * Runs to the end of the last answer.
     *
     * @throws IllegalArgumentException if the engines' speed is not the run's
     */
    public RunSummary run() {
        EngineSettings settings = mEngines.get(0).settings();
        checkSpeed(settings);
        double capacity = capacity(settings);
        mOptions.loadLagMillis().ifPresent(lag -> mEngines.forEach(e -> e.loadLag(lag)));
        EngineCounts engineBefore = engineCounts();
        EntryProbe.Counts entryBefore = mEntries.counts();
        List<CallResult> results = send(settings, capacity);
        int held = heldPieces();
        RunTotals totals = new RunTotals(mOptions, results, mLatencies);
        return totals.summary(
                capacity,
                engineCounts().since(engineBefore),
                mEntries.counts().since(entryBefore),
                mKiller.kills(),
                held);
    }

    private List<CallResult> send(EngineSettings settings, double capacity) {
        List<PlannedRequest> plan =
                ArrivalPlan.of(
                        mOptions.deployment().workload(),
                        capacity * mOptions.load(),
                        mOptions.seconds(),
                        mOptions.seed());
        long start = System.nanoTime();
        LongSupplier micros =
                () -> (long) ((System.nanoTime() - start) * mOptions.speed() / NANOS_PER_MICRO);
        CompletionSender sender =
                new CompletionSender(mOptions, settings.answerTokens(), mLatencies, micros);
        ScheduledExecutorService killerThread = Executors.newSingleThreadScheduledExecutor();
        mOptions.killEveryMillis().ifPresent(every -> mKiller.start(killerThread, every));
        List<CompletableFuture<CallResult>> calls = new ArrayList<>();
        for (PlannedRequest request : plan) {
            waitUntil(request.atMicros(), micros);
            calls.add(sender.send(request));
        }
        killerThread.shutdownNow();
        return calls.stream().map(CompletableFuture::join).collect(Collectors.toList());
    }

    /** Open loop: a request leaves at its planned time, however late the answers are. */
    private void waitUntil(long atMicros, LongSupplier micros) {
        long left = atMicros - micros.getAsLong();
        while (left > 0) {
            long nanos = TimeUnit.MICROSECONDS.toNanos(left);
            LockSupport.parkNanos((long) (nanos / mOptions.speed()));
            left = atMicros - micros.getAsLong();
        }
    }

    private double capacity(EngineSettings settings) {
        Deployment deployment = mOptions.deployment();
        long decoding =
                deployment.runnerRoles().stream().filter(BackendRole.DECODE::equals).count();
        return PoolCapacity.perSecond(
                settings, (int) decoding, deployment.workload().answerTokens());
    }

    private void checkSpeed(EngineSettings settings) {
        if (settings.speed() != mOptions.speed()) {
            throw new IllegalArgumentException(
                    "engines run at speed " + settings.speed() + ", not " + mOptions.speed());
        }
    }

    private EngineCounts engineCounts() {
        return mEngines.stream().map(EngineProbe::counts).reduce(NO_COUNTS, EngineCounts::plus);
    }

    /** Returns what is held once nothing is, or after the time for cancels has passed. */
    private int heldPieces() {
        int held = heldNow();
        for (int i = 0; held > 0 && i < HELD_TRIES; i++) {
            LockSupport.parkNanos(HELD_PAUSE_NANOS);
            held = heldNow();
        }
        return held;
    }

    private int heldNow() {
        return mEngines.stream().mapToInt(EngineProbe::heldPieces).sum();
    }
}
