package org.cyclamenpaddle.standins.report;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

/**
 * Runs that differ in their seed only: medians of rates and latencies, sums of faults.
 *
 * @param deployment deployment
 * @param policy label
 * @param load offered share of capacity
 * @param seeds runs merged
 * @param offeredPerSecond median of requests offered a second
 * @param goodPerSecond median of goodput
 * @param goodShare median share of offered requests within both targets
 * @param wastedTokens median of prefilled tokens never used
 * @param wastedShare median share of prefilled tokens never used
 * @param firstToken medians of the percentiles of the time to first token
 * @param betweenTokens medians of the percentiles of the time between tokens
 * @param wrong wrong answers in all runs
 * @param duplicated answers with a part that came twice, in all runs
 * @param cutOff answers cut off or lost, in all runs
 * @param heldPieces memory pieces still held after any run
 * @param kills engines crashed on purpose in all runs
 * @param refusals refusals in all runs, by the reason their callers were told
 * @param retries retries in all runs, by reason
 */
public record MergedRuns(
        String deployment,
        String policy,
        double load,
        int seeds,
        double offeredPerSecond,
        double goodPerSecond,
        double goodShare,
        double wastedTokens,
        double wastedShare,
        Latency firstToken,
        Latency betweenTokens,
        long wrong,
        long duplicated,
        long cutOff,
        long heldPieces,
        long kills,
        Map<String, Long> refusals,
        Map<String, Long> retries) {

    private static final Comparator<MergedRuns> ORDER =
            Comparator.comparing(MergedRuns::deployment)
                    .thenComparingDouble(MergedRuns::load)
                    .thenComparing(MergedRuns::policy);

    private record Group(String deployment, String policy, double load) {}

    /** Merges runs by deployment, policy and load, and sorts by these. */
    public static List<MergedRuns> of(List<RunSummary> runs) {
        Map<Group, List<RunSummary>> groups =
                runs.stream()
                        .collect(
                                Collectors.groupingBy(
                                        run ->
                                                new Group(
                                                        run.deployment(),
                                                        run.policy(),
                                                        run.load())));
        return groups.entrySet().stream()
                .map(entry -> merge(entry.getKey(), entry.getValue()))
                .sorted(ORDER)
                .collect(Collectors.toList());
    }

    private static MergedRuns merge(Group group, List<RunSummary> runs) {
        return new MergedRuns(
                group.deployment(),
                group.policy(),
                group.load(),
                runs.size(),
                median(runs, run -> run.offered() / run.seconds()),
                median(runs, RunSummary::goodPerSecond),
                median(runs, RunSummary::goodShare),
                median(runs, RunSummary::wastedTokens),
                median(runs, RunSummary::wastedShare),
                latency(runs, RunSummary::firstToken),
                latency(runs, RunSummary::betweenTokens),
                runs.stream().mapToLong(run -> run.outcome("wrong")).sum(),
                runs.stream().mapToLong(run -> run.outcome("duplicated")).sum(),
                runs.stream().mapToLong(run -> run.outcome("cut-off") + run.outcome("lost")).sum(),
                runs.stream().mapToLong(RunSummary::heldPieces).sum(),
                runs.stream().mapToLong(RunSummary::kills).sum(),
                sums(runs, RunSummary::refusals),
                sums(runs, RunSummary::retries));
    }

    private static Latency latency(List<RunSummary> runs, Function<RunSummary, Latency> of) {
        return new Latency(
                runs.stream().mapToLong(run -> of.apply(run).count()).sum(),
                median(runs, run -> of.apply(run).p50()),
                median(runs, run -> of.apply(run).p95()),
                median(runs, run -> of.apply(run).p99()));
    }

    /** Returns the middle value, or the mean of the two in the middle. */
    private static double median(List<RunSummary> runs, ToDoubleFunction<RunSummary> value) {
        double[] sorted = runs.stream().mapToDouble(value).sorted().toArray();
        int upper = sorted.length / 2;
        return sorted.length % 2 == 1 ? sorted[upper] : (sorted[upper - 1] + sorted[upper]) / 2;
    }

    private static Map<String, Long> sums(
            List<RunSummary> runs, Function<RunSummary, Map<String, Long>> of) {
        Map<String, Long> sums = new TreeMap<>();
        runs.forEach(run -> of.apply(run).forEach((k, n) -> sums.merge(k, n, Long::sum)));
        return sums;
    }
}
