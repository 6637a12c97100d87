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
 * Shows from relays' logs what became of requests, second by second and route by route, and why
 * those that were not answered ended.
 */
final class LogReportCommand {

    private static final String[] FIGURES = {
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
        List<LogLine> ends = log.lines().stream().filter(RequestTally::tellsAnEnd).toList();
        if (ends.isEmpty()) {
            return Either.left(
                    CommandError.of(
                            ExitCode.NOT_FOUND,
                            file
                                    + " tells the end of no request; "
                                    + log.skipped()
                                    + " lines are no decision lines"));
        }
        ArrayNode seconds = tallied(ends, "second", LogReportCommand::second);
        ArrayNode routes = tallied(ends, "route", line -> line.text("route"));
        ArrayNode reasons = reasons(ends);
        ObjectNode all = Json.object().put("skippedLines", log.skipped());
        all.set("seconds", seconds);
        all.set("routes", routes);
        all.set("reasons", reasons);
        return Either.right(
                new Report(
                        all,
                        List.of(
                                table(seconds, "second"),
                                table(routes, "route"),
                                ReportTable.of(reasons, "reason", "requests"),
                                ReportTable.of(Json.array().add(all), "skippedLines"))));
    }

    private static String second(LogLine line) {
        return line.time().truncatedTo(ChronoUnit.SECONDS).toString();
    }

    private static ArrayNode tallied(
            List<LogLine> ends, String name, Function<LogLine, String> key) {
        Map<String, RequestTally> tallies = new TreeMap<>();
        ends.forEach(
                line ->
                        tallies.computeIfAbsent(key.apply(line), any -> new RequestTally())
                                .add(line));
        ArrayNode shown = Json.array();
        tallies.forEach(
                (value, tally) -> shown.add(Json.object().put(name, value).setAll(tally.shown())));
        return shown;
    }

    private static ArrayNode reasons(List<LogLine> ends) {
        Map<String, Long> counted =
                ends.stream()
                        .map(line -> line.text("reason"))
                        .filter(reason -> !reason.isEmpty())
                        .collect(
                                Collectors.groupingBy(
                                        Function.identity(), TreeMap::new, Collectors.counting()));
        ArrayNode shown = Json.array();
        counted.forEach(
                (reason, requests) ->
                        shown.add(Json.object().put("reason", reason).put("requests", requests)));
        return shown;
    }

    private static ReportTable table(ArrayNode rows, String name) {
        String[] members = new String[FIGURES.length + 1];
        members[0] = name;
        System.arraycopy(FIGURES, 0, members, 1, FIGURES.length);
        return ReportTable.of(rows, members);
    }
}
