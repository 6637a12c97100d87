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

/** Load run that sends the planned requests, awaits every response and summarizes the results. */
public final class LoadRun {

    private static final EngineCounts NO_COUNTS = new EngineCounts(0, 0, 0, 0, 0, 0);
    private static final double NANOS_PER_MICRO = 1_000;
    private static final int HELD_PIECES_ATTEMPTS = 100;
    private static final long HELD_PIECES_POLL_NANOS = 100_000_000;

    private final LoadOptions mOptions;
    private final List<EngineProbe> mEngines;
    private final EntryProbe mEntries;
    private final EngineKiller mKiller;
    private final LatencyRecorder mLatencies = new LatencyRecorder();

    /** Creates a run without sending any requests. */
    public LoadRun(LoadOptions options) {
        mOptions = options;
        mEngines = options.engines().stream().map(EngineProbe::new).collect(Collectors.toList());
        mEntries = new EntryProbe(options.entries());
        mKiller = new EngineKiller(mEngines, options.speed(), options.seed());
    }

    /**
     * Runs until the last response has ended.
     *
     * @throws IllegalArgumentException if the speed of the engines differs from that of the run
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

    /** Waits for a request's planned time; open loop, so responses do not delay later requests. */
    private void waitUntil(long atMicros, LongSupplier micros) {
        long remaining = atMicros - micros.getAsLong();
        while (remaining > 0) {
            long nanos = TimeUnit.MICROSECONDS.toNanos(remaining);
            LockSupport.parkNanos((long) (nanos / mOptions.speed()));
            remaining = atMicros - micros.getAsLong();
        }
    }

    private double capacity(EngineSettings settings) {
        Deployment deployment = mOptions.deployment();
        long decodeEngines =
                deployment.engineRoles().stream().filter(BackendRole.DECODE::equals).count();
        return PoolCapacity.perSecond(
                settings, (int) decodeEngines, deployment.workload().answerTokens());
    }

    private void checkSpeed(EngineSettings settings) {
        if (settings.speed() != mOptions.speed()) {
            throw new IllegalArgumentException(
                    "engines run at speed " + settings.speed() + ", expected " + mOptions.speed());
        }
    }

    private EngineCounts engineCounts() {
        return mEngines.stream().map(EngineProbe::counts).reduce(NO_COUNTS, EngineCounts::plus);
    }

    /**
     * Returns the KV cache blocks that are still allocated. Polls until there are none or the last
     * attempt has passed, since cancels take effect with a delay.
     */
    private int heldPieces() {
        int held = currentHeldPieces();
        for (int i = 0; held > 0 && i < HELD_PIECES_ATTEMPTS; i++) {
            LockSupport.parkNanos(HELD_PIECES_POLL_NANOS);
            held = currentHeldPieces();
        }
        return held;
    }

    private int currentHeldPieces() {
        return mEngines.stream().mapToInt(EngineProbe::heldPieces).sum();
    }
}
