package org.cyclamenpaddle.ctl.report;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * A table of text cells.
 *
 * @param headers names of the columns
 * @param rows cells; each row has one cell per column
 */
public record ReportTable(List<String> headers, List<List<String>> rows) {

    private static final String COLUMN_SEPARATOR = "  ";

    public ReportTable {
        headers = List.copyOf(headers);
        rows = List.copyOf(rows);
        int columns = headers.size();
        if (rows.stream().anyMatch(row -> row.size() != columns)) {
            throw new IllegalArgumentException(
                    "expected " + columns + " cells in each row, got " + rows);
        }
    }

    /**
     * Returns a table with a row for each element of an array and a column for each member.
     *
     * @param array JSON array of objects
     * @param members names of members, also used as headers
     */
    public static ReportTable of(JsonNode array, String... members) {
        List<List<String>> rows =
                array.valueStream()
                        .map(
                                item ->
                                        Arrays.stream(members)
                                                .map(member -> item.path(member).asText())
                                                .toList())
                        .toList();
        return new ReportTable(List.of(members), rows);
    }

    /** Returns the lines of this table with aligned columns and without trailing spaces. */
    public List<String> lines() {
        List<Integer> widths = IntStream.range(0, headers.size()).mapToObj(this::width).toList();
        return Stream.concat(Stream.of(headers), rows.stream())
                .map(row -> line(row, widths))
                .toList();
    }

    private int width(int column) {
        int widest = rows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
        return Math.max(widest, headers.get(column).length());
    }

    private static String line(List<String> row, List<Integer> widths) {
        return IntStream.range(0, row.size())
                .mapToObj(i -> pad(row.get(i), widths.get(i)))
                .collect(Collectors.joining(COLUMN_SEPARATOR))
                .stripTrailing();
    }

    private static String pad(String text, int width) {
        return text + " ".repeat(width - text.length());
    }
}
