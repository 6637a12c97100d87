package org.cyclamenpaddle.ctl.log;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.cyclamenpaddle.ctl.report.CommandError;
import org.cyclamenpaddle.ctl.report.ExitCode;

/**
 * The decision lines of a log file.
 *
 * @param lines decision lines, sorted by time
 * @param skipped number of other lines: truncated lines, lines of other programs, stack traces
 */
public record LogFile(List<LogLine> lines, long skipped) {

    public LogFile {
        lines = List.copyOf(lines);
    }

    /**
     * Reads a log file; lines that cannot be parsed, such as binary data, are skipped and counted.
     */
    public static Either<CommandError, LogFile> read(String file) {
        List<LogLine> lines = new ArrayList<>();
        long skipped = 0;
        try {
            String text = new String(Files.readAllBytes(Path.of(file)), StandardCharsets.UTF_8);
            for (String line : text.lines().toList()) {
                Optional<LogLine> read = LogLine.of(line);
                read.ifPresent(lines::add);
                skipped += read.isEmpty() ? 1 : 0;
            }
        } catch (IOException unreadable) {
            return Either.left(
                    CommandError.of(ExitCode.BAD_FILE, file + ": cannot be read: " + unreadable));
        }
        lines.sort(Comparator.comparing(LogLine::time));
        return Either.right(new LogFile(lines, skipped));
    }
}
