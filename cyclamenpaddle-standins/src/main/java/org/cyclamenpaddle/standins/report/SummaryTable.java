package org.cyclamenpaddle.standins.report;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/** Formats merged runs as a Markdown table. */
public final class SummaryTable {

    private static final List<String> COLUMNS =
            List.of(
                    "deployment",
                    "load",
                    "policy",
                    "seeds",
                    "offered/s",
                    "goodput/s",
                    "goodput share",
                    "wasted prefill tokens",
                    "wasted share",
                    "TTFT p50/p95/p99 ms",
                    "between tokens p50/p95/p99 ms",
                    "wrong",
                    "duplicated",
                    "cut off",
                    "held pieces",
                    "kills",
                    "refusals",
                    "retries");

    private SummaryTable() {}

    /** Returns the table as Markdown text. */
    public static String of(List<MergedRuns> runs) {
        String head = row(COLUMNS);
        String rule = row(COLUMNS.stream().map(c -> "---").collect(Collectors.toList()));
        String body = runs.stream().map(run -> row(cells(run))).collect(Collectors.joining());
        return head + rule + body;
    }

    private static List<String> cells(MergedRuns run) {
        return List.of(
                run.deployment(),
                format("%.2f", run.load()),
                run.policy(),
                String.valueOf(run.seeds()),
                format("%.2f", run.offeredPerSecond()),
                format("%.2f", run.goodPerSecond()),
                format("%.3f", run.goodShare()),
                format("%.0f", run.wastedTokens()),
                format("%.4f", run.wastedShare()),
                latency(run.firstToken()),
                latency(run.betweenTokens()),
                String.valueOf(run.wrong()),
                String.valueOf(run.duplicated()),
                String.valueOf(run.cutOff()),
                String.valueOf(run.heldPieces()),
                String.valueOf(run.kills()),
                reasons(run.refusals()),
                reasons(run.retries()));
    }

    private static String latency(Latency latency) {
        return format("%.0f", latency.p50())
                + "/"
                + format("%.0f", latency.p95())
                + "/"
                + format("%.0f", latency.p99());
    }

    private static String reasons(Map<String, Long> counts) {
        return counts.entrySet().stream()
                .map(entry -> entry.getKey() + " " + entry.getValue())
                .collect(Collectors.joining(", "));
    }

    private static String row(List<String> cells) {
        return "| " + String.join(" | ", cells) + " |\n";
    }

    private static String format(String pattern, double value) {
        return String.format(Locale.ROOT, pattern, value);
    }
}
