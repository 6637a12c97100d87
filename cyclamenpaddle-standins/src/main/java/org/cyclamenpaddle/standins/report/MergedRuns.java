package org.cyclamenpaddle.standins.report;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

/**
 * Aggregate of runs that differ only in their seed: medians of rates and latencies, sums of faults.
 *
 * @param deployment deployment
 * @param policy label of the compared variant
 * @param load offered load, as a share of capacity
 * @param seeds number of merged runs
 * @param offeredPerSecond median of the offered requests per second
 * @param goodPerSecond median of the goodput per second
 * @param goodShare median share of offered requests that met both latency targets
 * @param wastedTokens median of the wasted prefill tokens
 * @param wastedShare median share of prefilled tokens that were wasted
 * @param firstToken medians of the percentiles of the time to first token
 * @param betweenTokens medians of the percentiles of the inter-token latency
 * @param wrong wrong completions in all runs
 * @param duplicated completions with duplicated tokens, in all runs
 * @param cutOff truncated or lost responses, in all runs
 * @param heldPieces KV cache blocks still allocated after the runs, summed over all runs
 * @param kills injected engine crashes in all runs
 * @param refusals rejected and truncated calls in all runs, by the reason returned to the caller
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

    /**
     * Groups runs by deployment, policy and load, and sorts the groups by deployment, load, policy.
     */
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

    /** Returns the median, for an even count the mean of the two middle values. */
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
