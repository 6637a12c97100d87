package org.cyclamenpaddle.ctl.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import io.vavr.control.Either;
import java.util.Optional;
import org.cyclamenpaddle.ctl.report.CommandError;
import org.cyclamenpaddle.ctl.report.ExitCode;
import org.cyclamenpaddle.ctl.report.Json;

/** Converts HTTP responses of an entry host to documents or command errors. */
final class ResponseReader {

    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;

    private ResponseReader() {}

    /** Returns whether the body is a JSON object, which then contains the outcome of a change. */
    static boolean isJsonObject(AggregatedHttpResponse response) {
        return Json.read(response.contentUtf8()).filter(JsonNode::isObject).isPresent();
    }

    /**
     * Reads the response to a query; an error never has an unknown outcome, as nothing is changed.
     */
    static Either<CommandError, JsonNode> queryResult(AggregatedHttpResponse response) {
        return read(response, false);
    }

    /** Reads the response to a change; an error may report that its outcome is unknown. */
    static Either<CommandError, JsonNode> changeResult(AggregatedHttpResponse response) {
        return read(response, true);
    }

    private static Either<CommandError, JsonNode> read(
            AggregatedHttpResponse response, boolean change) {
        Optional<JsonNode> document = Json.read(response.contentUtf8());
        int status = response.status().code();
        if (response.status().isSuccess()) {
            return document.<Either<CommandError, JsonNode>>map(Either::right)
                    .orElseGet(() -> Either.left(unreadable(status)));
        }
        return Either.left(
                document.filter(JsonNode::isObject)
                        .map(problem -> refusal(status, problem, change))
                        .orElseGet(() -> unreadable(status)));
    }

    private static CommandError refusal(int status, JsonNode problem, boolean change) {
        boolean unknown = change && problem.path("outcome").asText().equals("unknown");
        ExitCode code = unknown ? ExitCode.UNKNOWN : code(status);
        return new CommandError(code, message(problem), Optional.of(problem));
    }

    private static ExitCode code(int status) {
        return switch (status) {
            case NOT_FOUND -> ExitCode.NOT_FOUND;
            case CONFLICT -> ExitCode.CONFLICT;
            default -> ExitCode.REFUSED;
        };
    }

    private static String message(JsonNode problem) {
        String summary = problem.path("title").asText() + " " + problem.path("detail").asText();
        JsonNode winner = problem.path("winner");
        String winnerText =
                winner.isMissingNode()
                        ? ""
                        : "; change "
                                + winner.path("changeId").asText()
                                + " won with version "
                                + winner.path("version").asText();
        return problem.path("reason").asText("refused") + ": " + summary.strip() + winnerText;
    }

    private static CommandError unreadable(int status) {
        return CommandError.of(
                ExitCode.REFUSED, "response with status " + status + " is not a JSON document");
    }
}
