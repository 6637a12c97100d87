package org.cyclamenpaddle.standins.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.cyclamenpaddle.standins.http.JsonResponses;

/** Writes a report on the run summaries of a directory as a table, JSON and plots. */
public final class Report {

    /** Name of the table file. */
    public static final String TABLE = "report.md";

    /** Name of the JSON file with the same data. */
    public static final String DATA = "report.json";

    private Report() {}

    /**
     * Merges the summaries of a directory and writes the report to the same directory.
     *
     * @return the table
     */
    public static String write(Path directory) throws IOException {
        List<MergedRuns> runs = MergedRuns.of(SummaryFiles.read(directory));
        String table = SummaryTable.of(runs);
        Files.writeString(directory.resolve(TABLE), table);
        JsonResponses.JSON
                .writerWithDefaultPrettyPrinter()
                .writeValue(directory.resolve(DATA).toFile(), runs);
        for (SharePlot plot : SharePlot.values()) {
            plot.write(directory, runs);
        }
        return table;
    }
}
