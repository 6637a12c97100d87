package org.cyclamenpaddle.ctl.report;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * Result of a command in both of its forms.
 *
 * @param document for {@code --output json}
 * @param tables for {@code --output table}
 */
public record Report(JsonNode document, List<ReportTable> tables) {

    public Report {
        tables = List.copyOf(tables);
    }

    /** Returns a report of one table. */
    public static Report of(JsonNode document, ReportTable table) {
        return new Report(document, List.of(table));
    }
}
