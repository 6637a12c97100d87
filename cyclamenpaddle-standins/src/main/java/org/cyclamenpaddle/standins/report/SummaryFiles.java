package org.cyclamenpaddle.standins.report;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cyclamenpaddle.standins.http.JsonResponses;

/** Reads and writes run summaries as JSON files in a directory. */
public final class SummaryFiles {

    private static final String SUFFIX = ".run.json";

    private SummaryFiles() {}

    /** Writes a summary to a file named after its run and returns the file. */
    public static Path write(Path directory, RunSummary summary) throws IOException {
        Files.createDirectories(directory);
        String name =
                String.format(
                        Locale.ROOT,
                        "%s-%s-%.2f-%d%s",
                        summary.deployment(),
                        summary.policy(),
                        summary.load(),
                        summary.seed(),
                        SUFFIX);
        Path file = directory.resolve(name);
        JsonResponses.JSON.writerWithDefaultPrettyPrinter().writeValue(file.toFile(), summary);
        return file;
    }

    /** Reads all summaries of a directory, ordered by file name. */
    public static List<RunSummary> read(Path directory) throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            return files.filter(file -> file.toString().endsWith(SUFFIX))
                    .sorted()
                    .map(SummaryFiles::readOne)
                    .collect(Collectors.toList());
        }
    }

    private static RunSummary readOne(Path file) {
        try {
            return JsonResponses.JSON.readValue(file.toFile(), RunSummary.class);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
