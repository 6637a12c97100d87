package org.cyclamenpaddle.ctl.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.cyclamenpaddle.ctl.log.LogFile;
import org.cyclamenpaddle.ctl.log.LogLine;
import org.cyclamenpaddle.ctl.report.CommandError;
import org.cyclamenpaddle.ctl.report.ExitCode;
import org.cyclamenpaddle.ctl.report.Json;
import org.cyclamenpaddle.ctl.report.Report;
import org.cyclamenpaddle.ctl.report.ReportTable;

/**
 * Shows what relays logged of a request, from their log lines.
 *
 * <p>Lines that name the request tell what was decided. Beside them stand those that changed what
 * the same host believed of the backend servers in question, or of the store, shortly before: they
 * tell why.
 */
final class LogExplainCommand {

    /**
     * How long before a request's first line a change of belief still explains it: the longest time
     * for which a failing backend server is left out, and a little more.
     */
    private static final Duration BEFORE = Duration.ofSeconds(5);

    /** Events that change what a host believes of backend servers or of the store. */
    private static final Set<String> BELIEFS =
            Set.of("CP2101", "CP2102", "CP2103", "CP2106", "CP2107", "CP2108");

    private static final Set<String> SHOWN_APART = Set.of("time", "node", "code", "event");
    private static final String NO_BACKEND = "none";

    private LogExplainCommand() {}

    static Either<CommandError, Report> run(Arguments arguments, Session session) {
        return LogFile.read(arguments.file()).flatMap(log -> explain(log.lines(), arguments));
    }

    private static boolean isAbout(LogLine line, String request) {
        return line.text("request").equals(request);
    }

    private static Either<CommandError, Report> explain(List<LogLine> lines, Arguments arguments) {
        List<LogLine> own = lines.stream().filter(line -> isAbout(line, arguments.name())).toList();
        if (own.isEmpty()) {
            return Either.left(
                    CommandError.of(
                            ExitCode.NOT_FOUND,
                            arguments.file() + " has no line of request " + arguments.name()));
        }
        ArrayNode shown = Json.array();
        lines.stream()
                .filter(line -> isAbout(line, arguments.name()) || explains(line, own))
                .forEach(line -> shown.add(shown(line)));
        return Either.right(
                Report.of(shown, ReportTable.of(shown, "time", "node", "code", "event", "detail")));
    }

    private static boolean explains(LogLine line, List<LogLine> own) {
        if (!BELIEFS.contains(line.text("code"))) {
            return false;
        }
        Instant from = own.get(0).time().minus(BEFORE);
        Instant to = own.get(own.size() - 1).time();
        Set<String> nodes = own.stream().map(o -> o.text("node")).collect(Collectors.toSet());
        Set<String> backends = own.stream().map(o -> o.text("backend")).collect(Collectors.toSet());
        String backend = line.fields().path("backend").asText(NO_BACKEND);
        return nodes.contains(line.text("node"))
                && !line.time().isBefore(from)
                && !line.time().isAfter(to)
                && (backend.equals(NO_BACKEND) || backends.contains(backend));
    }

    private static JsonNode shown(LogLine line) {
        String detail =
                line.fields().properties().stream()
                        .filter(field -> !SHOWN_APART.contains(field.getKey()))
                        .map(field -> field.getKey() + "=" + field.getValue().asText())
                        .collect(Collectors.joining(" "));
        return Json.object()
                .put("time", line.text("time"))
                .put("node", line.text("node"))
                .put("code", line.text("code"))
                .put("event", line.text("event"))
                .put("detail", detail);
    }
}
