package org.cyclamenpaddle.standins.load;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.cyclamenpaddle.standins.engine.EngineCounts;
import org.cyclamenpaddle.standins.report.RunSummary;

/** Aggregates the calls of one run into its summary. */
final class RunTotals {

    private static final long MICROS_PER_MILLI = 1_000;
    private static final Set<CallOutcome> FAILED_OUTCOMES =
            EnumSet.of(CallOutcome.REFUSED, CallOutcome.CUT_OFF, CallOutcome.LOST);

    private final LoadOptions mOptions;
    private final List<CallResult> mResults;
    private final LatencyRecorder mLatencies;

    RunTotals(LoadOptions options, List<CallResult> results, LatencyRecorder latencies) {
        mOptions = options;
        mResults = results;
        mLatencies = latencies;
    }

    RunSummary summary(
            double capacity,
            EngineCounts engines,
            EntryProbe.Counts entries,
            long kills,
            int heldPieces) {
        return new RunSummary(
                mOptions.policy(),
                mOptions.deployment().code(),
                mOptions.load(),
                mOptions.seed(),
                mOptions.speed(),
                mOptions.seconds(),
                capacity,
                mResults.size(),
                mResults.stream().filter(this::meetsTargets).count(),
                outcomes(),
                refusals(),
                entries.refusals().values(),
                entries.retries().values(),
                engines.prefilledTokens(),
                engines.wastedTokens(),
                kills,
                heldPieces,
                mLatencies.firstTokens(),
                mLatencies.gaps());
    }

    private boolean meetsTargets(CallResult result) {
        long firstMicros = mOptions.deployment().firstTokenMillis() * MICROS_PER_MILLI;
        long gapMicros = mOptions.deployment().perTokenMillis() * MICROS_PER_MILLI;
        return result.outcome() == CallOutcome.WHOLE
                && result.firstTokenMicros() <= firstMicros
                && result.meanGapMicros() <= gapMicros;
    }

    private Map<String, Long> outcomes() {
        return Arrays.stream(CallOutcome.values())
                .collect(Collectors.toMap(CallOutcome::code, this::count));
    }

    private long count(CallOutcome outcome) {
        return mResults.stream().filter(result -> result.outcome() == outcome).count();
    }

    private Map<String, Long> refusals() {
        return mResults.stream()
                .filter(result -> FAILED_OUTCOMES.contains(result.outcome()))
                .map(CallResult::reason)
                .collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
    }
}
