package org.cyclamenpaddle.ctl.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cyclamenpaddle.ctl.log.LogFile;
import org.cyclamenpaddle.ctl.log.LogLine;
import org.cyclamenpaddle.ctl.report.CommandError;
import org.cyclamenpaddle.ctl.report.ExitCode;
import org.cyclamenpaddle.ctl.report.Json;
import org.cyclamenpaddle.ctl.report.Report;
import org.cyclamenpaddle.ctl.report.ReportTable;

/**
 * Shows the log lines of relays that explain a request.
 *
 * <p>Lines with the id of the request contain the decisions. Lines of the same host that record a
 * state change of the backend servers involved, or of the store, shortly before or during the
 * request contain the reasons, and so do the directives of backend servers that were in force then,
 * and the services from which a host was cut off. A request that was handed over has lines of both
 * hosts. The attempts of a caller to get one stream are shown together.
 */
final class LogExplainCommand {

    /**
     * Time before the first line of a request in which state changes are included: slightly longer
     * than the maximum time for which a failing backend server is ejected.
     */
    private static final Duration LOOKBACK = Duration.ofSeconds(5);

    /** Events that record a state change of backend servers or of the store on a host. */
    private static final Set<String> STATE_EVENTS =
            Set.of("CP2101", "CP2102", "CP2103", "CP2106", "CP2107", "CP2108");

    /** Event of a directive that was set, changed or lifted. */
    private static final String DIRECTIVE_EVENT = "CP2114";

    /** Event of a host that has lost its paths to the servers of a service. */
    private static final String CUT_OFF_EVENT = "CP2119";

    /** Event of a host that reaches a service again. */
    private static final String REACHED_EVENT = "CP2120";

    /** Directive with a duration in milliseconds as its value. */
    private static final String PAUSE = "PAUSE";

    /** Value of a directive that has ended. */
    private static final String LIFTED = "none";

    private static final Set<String> COLUMN_FIELDS = Set.of("time", "node", "code", "event");
    private static final String NO_BACKEND = "none";

    /** Key of the stream of a plain call, or of one whose beginning is not known. */
    private static final String NO_STREAM = "none";

    private LogExplainCommand() {}

    static Either<CommandError, Report> run(Arguments arguments, Session session) {
        return LogFile.read(arguments.file()).flatMap(log -> explain(log.lines(), arguments));
    }

    /**
     * Returns the attempts of a caller to get one stream; they share a key, which not every line
     * has.
     */
    private static Set<String> attempts(List<LogLine> lines, String request) {
        Set<String> streams =
                lines.stream()
                        .filter(line -> line.text("request").equals(request))
                        .map(line -> line.text("stream"))
                        .filter(stream -> !stream.isEmpty() && !stream.equals(NO_STREAM))
                        .collect(Collectors.toSet());
        return Stream.concat(
                        Stream.of(request),
                        lines.stream()
                                .filter(line -> streams.contains(line.text("stream")))
                                .map(line -> line.text("request")))
                .collect(Collectors.toSet());
    }

    private static Either<CommandError, Report> explain(List<LogLine> lines, Arguments arguments) {
        Set<String> attempts = attempts(lines, arguments.name());
        List<LogLine> requestLines =
                lines.stream().filter(line -> attempts.contains(line.text("request"))).toList();
        if (requestLines.isEmpty()) {
            return Either.left(
                    CommandError.of(
                            ExitCode.NOT_FOUND,
                            arguments.file() + " contains no line of request " + arguments.name()));
        }
        ArrayNode rows = Json.array();
        Set<LogLine> directives = directivesInForce(lines, requestLines);
        Set<LogLine> cuts = cutsInForce(lines, requestLines);
        lines.stream()
                .filter(
                        line ->
                                attempts.contains(line.text("request"))
                                        || isContext(line, requestLines)
                                        || directives.contains(line)
                                        || cuts.contains(line))
                .forEach(line -> rows.add(row(line)));
        return Either.right(
                Report.of(rows, ReportTable.of(rows, "time", "node", "code", "event", "detail")));
    }

    private static boolean isContext(LogLine line, List<LogLine> requestLines) {
        if (!STATE_EVENTS.contains(line.text("code"))) {
            return false;
        }
        Instant from = requestLines.get(0).time().minus(LOOKBACK);
        Instant to = lastTime(requestLines);
        Set<String> nodes = nodes(requestLines);
        Set<String> backends =
                requestLines.stream().map(l -> l.text("backend")).collect(Collectors.toSet());
        String backend = line.fields().path("backend").asText(NO_BACKEND);
        return nodes.contains(line.text("node"))
                && !line.time().isBefore(from)
                && !line.time().isAfter(to)
                && (backend.equals(NO_BACKEND) || backends.contains(backend));
    }

    /**
     * Returns the lines of the directives that the hosts of a request had received before its end.
     */
    private static Set<LogLine> directivesInForce(List<LogLine> lines, List<LogLine> requestLines) {
        Set<String> nodes = nodes(requestLines);
        Instant to = lastTime(requestLines);
        Map<List<String>, LogLine> latest = new HashMap<>();
        lines.stream()
                .filter(line -> line.text("code").equals(DIRECTIVE_EVENT))
                .filter(line -> nodes.contains(line.text("node")) && !line.time().isAfter(to))
                .forEach(
                        line ->
                                latest.put(
                                        List.of(
                                                line.text("node"),
                                                line.text("backend"),
                                                line.text("directive")),
                                        line));
        return latest.values().stream()
                .filter(line -> isInForce(line, requestLines.get(0).time()))
                .collect(Collectors.toSet());
    }

    /** Returns the lines of the cuts that lasted on the hosts of a request at its end. */
    private static Set<LogLine> cutsInForce(List<LogLine> lines, List<LogLine> requestLines) {
        Set<String> nodes = nodes(requestLines);
        Instant to = lastTime(requestLines);
        Map<List<String>, LogLine> latest = new HashMap<>();
        lines.stream()
                .filter(line -> nodes.contains(line.text("node")) && !line.time().isAfter(to))
                .filter(line -> Set.of(CUT_OFF_EVENT, REACHED_EVENT).contains(line.text("code")))
                .forEach(
                        line -> latest.put(List.of(line.text("node"), line.text("service")), line));
        return latest.values().stream()
                .filter(line -> line.text("code").equals(CUT_OFF_EVENT))
                .collect(Collectors.toSet());
    }

    private static boolean isInForce(LogLine line, Instant time) {
        if (line.text("directive").equals(PAUSE)) {
            long millis = line.fields().path("value").asLong();
            return !line.time().plusMillis(millis).isBefore(time);
        }
        return !line.text("value").equals(LIFTED);
    }

    private static Instant lastTime(List<LogLine> requestLines) {
        return requestLines.get(requestLines.size() - 1).time();
    }

    private static Set<String> nodes(List<LogLine> requestLines) {
        return requestLines.stream().map(line -> line.text("node")).collect(Collectors.toSet());
    }

    private static JsonNode row(LogLine line) {
        String detail =
                line.fields().properties().stream()
                        .filter(field -> !COLUMN_FIELDS.contains(field.getKey()))
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
