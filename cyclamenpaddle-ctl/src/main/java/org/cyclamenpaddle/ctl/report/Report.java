package org.cyclamenpaddle.ctl.report;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * Result of a command in both output formats.
 *
 * @param document for {@code --output json}
 * @param tables for {@code --output table}
 */
public record Report(JsonNode document, List<ReportTable> tables) {

    public Report {
        tables = List.copyOf(tables);
    }

    /** Returns a report with a single table. */
    public static Report of(JsonNode document, ReportTable table) {
        return new Report(document, List.of(table));
    }
}
