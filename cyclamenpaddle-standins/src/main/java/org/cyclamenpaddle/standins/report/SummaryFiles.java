package org.cyclamenpaddle.standins.report;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cyclamenpaddle.standins.http.Answers;

/** Summaries of runs as JSON files in one directory. */
public final class SummaryFiles {

    private static final String SUFFIX = ".run.json";

    private SummaryFiles() {}

    /** Writes a summary under a name that tells its run; returns the file. */
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
        Answers.JSON.writerWithDefaultPrettyPrinter().writeValue(file.toFile(), summary);
        return file;
    }

    /** Reads all summaries of a directory, in order of their names. */
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
            return Answers.JSON.readValue(file.toFile(), RunSummary.class);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
