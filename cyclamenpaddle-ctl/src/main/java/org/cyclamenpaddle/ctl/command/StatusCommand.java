package org.cyclamenpaddle.ctl.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.vavr.control.Either;
import java.util.List;
import org.cyclamenpaddle.ctl.report.CommandError;
import org.cyclamenpaddle.ctl.report.Json;
import org.cyclamenpaddle.ctl.report.Report;
import org.cyclamenpaddle.ctl.report.ReportTable;

/** Shows the status of the fleet as reported by one entry host. */
final class StatusCommand {

    private StatusCommand() {}

    static Either<CommandError, Report> run(Arguments arguments, Session session) {
        return session.client().status().map(StatusCommand::report);
    }

    private static Report report(JsonNode status) {
        ReportTable fleet =
                ReportTable.of(
                        Json.array().add(status),
                        "reporter",
                        "presetInForce",
                        "inForceVersion",
                        "hostsInForce",
                        "hostsAlive",
                        "platformReachable");
        ReportTable hosts =
                ReportTable.of(
                        status.path("hosts"),
                        "host",
                        "domain",
                        "state",
                        "sameConfiguration",
                        "inForceVersion");
        ReportTable backends =
                ReportTable.of(
                        status.path("backends"),
                        "backend",
                        "domain",
                        "service",
                        "role",
                        "owner",
                        "reachable",
                        "slots",
                        "freeSlots",
                        "leaving",
                        "drained");
        return new Report(
                status,
                List.of(
                        fleet,
                        hosts,
                        backends,
                        counts("refusal", status.path("refusals")),
                        counts("retry", status.path("retries"))));
    }

    /** Returns the reasons with a non-zero count on the reporting host. */
    private static ReportTable counts(String header, JsonNode counts) {
        ArrayNode rows = Json.array();
        counts.propertyStream()
                .filter(count -> count.getValue().asLong() > 0)
                .forEach(
                        count ->
                                rows.add(
                                        Json.object()
                                                .put(header, count.getKey())
                                                .put("count", count.getValue().asLong())));
        return ReportTable.of(rows, header, "count");
    }
}
