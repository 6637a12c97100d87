package org.cyclamenpaddle.standins.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.cyclamenpaddle.standins.http.Answers;

/** Report over the summaries of a directory: table, JSON and plots. */
public final class Report {

    /** File of the table. */
    public static final String TABLE = "report.md";

    /** File of the same as JSON. */
    public static final String DATA = "report.json";

    private Report() {}

    /**
     * Merges the summaries of a directory and writes the report beside them.
     *
     * @return the table
     */
    public static String write(Path directory) throws IOException {
        List<MergedRuns> runs = MergedRuns.of(SummaryFiles.read(directory));
        String table = SummaryTable.of(runs);
        Files.writeString(directory.resolve(TABLE), table);
        Answers.JSON
                .writerWithDefaultPrettyPrinter()
                .writeValue(directory.resolve(DATA).toFile(), runs);
        for (SharePlot plot : SharePlot.values()) {
            plot.write(directory, runs);
        }
        return table;
    }
}
