package org.cyclamenpaddle.ctl.command;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.cyclamenpaddle.ctl.log.LogFile;
import org.cyclamenpaddle.ctl.log.LogLine;
import org.cyclamenpaddle.ctl.log.RequestTally;
import org.cyclamenpaddle.ctl.report.CommandError;
import org.cyclamenpaddle.ctl.report.ExitCode;
import org.cyclamenpaddle.ctl.report.Json;
import org.cyclamenpaddle.ctl.report.Report;
import org.cyclamenpaddle.ctl.report.ReportTable;

/**
 * Summarizes the outcomes of requests from relay logs by second and by route, and counts the
 * reasons of requests that did not complete.
 */
final class LogReportCommand {

    private static final String[] COLUMNS = {
        "answered",
        "sentAgain",
        "refused",
        "failed",
        "cut",
        "gone",
        "place50",
        "place95",
        "read50",
        "read95",
        "pause95",
        "whole95"
    };

    private LogReportCommand() {}

    static Either<CommandError, Report> run(Arguments arguments, Session session) {
        return LogFile.read(arguments.file()).flatMap(log -> report(log, arguments.file()));
    }

    private static Either<CommandError, Report> report(LogFile log, String file) {
        List<LogLine> ends = log.lines().stream().filter(RequestTally::isRequestEnd).toList();
        if (ends.isEmpty()) {
            return Either.left(
                    CommandError.of(
                            ExitCode.NOT_FOUND,
                            file
                                    + " contains no request end event; "
                                    + log.skipped()
                                    + " lines are not decision lines"));
        }
        ArrayNode seconds = tallyBy(ends, "second", LogReportCommand::second);
        ArrayNode routes = tallyBy(ends, "route", line -> line.text("route"));
        ArrayNode reasons = reasons(ends);
        ObjectNode summary = Json.object().put("skippedLines", log.skipped());
        summary.set("seconds", seconds);
        summary.set("routes", routes);
        summary.set("reasons", reasons);
        return Either.right(
                new Report(
                        summary,
                        List.of(
                                table(seconds, "second"),
                                table(routes, "route"),
                                ReportTable.of(reasons, "reason", "requests"),
                                ReportTable.of(Json.array().add(summary), "skippedLines"))));
    }

    private static String second(LogLine line) {
        return line.time().truncatedTo(ChronoUnit.SECONDS).toString();
    }

    private static ArrayNode tallyBy(
            List<LogLine> ends, String name, Function<LogLine, String> key) {
        Map<String, RequestTally> tallies = new TreeMap<>();
        ends.forEach(
                line ->
                        tallies.computeIfAbsent(key.apply(line), unused -> new RequestTally())
                                .add(line));
        ArrayNode rows = Json.array();
        tallies.forEach(
                (value, tally) -> rows.add(Json.object().put(name, value).setAll(tally.toJson())));
        return rows;
    }

    private static ArrayNode reasons(List<LogLine> ends) {
        Map<String, Long> counts =
                ends.stream()
                        .map(line -> line.text("reason"))
                        .filter(reason -> !reason.isEmpty())
                        .collect(
                                Collectors.groupingBy(
                                        Function.identity(), TreeMap::new, Collectors.counting()));
        ArrayNode rows = Json.array();
        counts.forEach(
                (reason, requests) ->
                        rows.add(Json.object().put("reason", reason).put("requests", requests)));
        return rows;
    }

    private static ReportTable table(ArrayNode rows, String name) {
        String[] members = new String[COLUMNS.length + 1];
        members[0] = name;
        System.arraycopy(COLUMNS, 0, members, 1, COLUMNS.length);
        return ReportTable.of(rows, members);
    }
}
