package org.cyclamenpaddle.standins.load;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Values of a counter by its {@code reason} label, parsed from a metrics page.
 *
 * @param values sums by reason
 */
record ReasonCounts(Map<String, Long> values) {

    private static final Pattern REASON = Pattern.compile("reason=\"([^\"]*)\"");

    ReasonCounts {
        values = Map.copyOf(values);
    }

    /** Parses the counter {@code metric} from a page in the Prometheus text format. */
    static ReasonCounts parse(String page, String metric) {
        return new ReasonCounts(
                page.lines()
                        .filter(line -> line.startsWith(metric + "{"))
                        .map(ReasonCounts::sample)
                        .flatMap(Optional::stream)
                        .collect(
                                Collectors.toMap(
                                        Map.Entry::getKey, Map.Entry::getValue, Long::sum)));
    }

    ReasonCounts plus(ReasonCounts other) {
        Map<String, Long> sums = new HashMap<>(values);
        other.values.forEach((reason, count) -> sums.merge(reason, count, Long::sum));
        return new ReasonCounts(sums);
    }

    /** Returns the increase since {@code earlier}, without the reasons that did not increase. */
    ReasonCounts since(ReasonCounts earlier) {
        return new ReasonCounts(
                values.entrySet().stream()
                        .map(e -> Map.entry(e.getKey(), e.getValue() - earlier.of(e.getKey())))
                        .filter(entry -> entry.getValue() > 0)
                        .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue)));
    }

    private long of(String reason) {
        return values.getOrDefault(reason, 0L);
    }

    private static Optional<Map.Entry<String, Long>> sample(String line) {
        Matcher reason = REASON.matcher(line);
        if (!reason.find()) {
            return Optional.empty();
        }
        double value = Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1));
        return Optional.of(Map.entry(reason.group(1), (long) value));
    }
}
