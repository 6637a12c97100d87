package org.cyclamenpaddle.ctl.command;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.cyclamenpaddle.ctl.report.CommandError;
import org.cyclamenpaddle.ctl.report.Report;
import org.cyclamenpaddle.ctl.report.ReportTable;

/** Shows the routing decisions for a request and their reasons. */
final class ExplainCommand {

    private ExplainCommand() {}

    static Either<CommandError, Report> run(Arguments arguments, Session session) {
        return session.client().explain(arguments.name()).map(ExplainCommand::report);
    }

    private static Report report(JsonNode explanation) {
        return Report.of(
                explanation,
                ReportTable.of(explanation.path("decisions"), "afterMillis", "step", "text"));
    }
}
