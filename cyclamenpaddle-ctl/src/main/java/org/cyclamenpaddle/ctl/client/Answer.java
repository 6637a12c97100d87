package org.cyclamenpaddle.ctl.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import io.vavr.control.Either;
import java.util.Optional;
import org.cyclamenpaddle.ctl.report.CommandError;
import org.cyclamenpaddle.ctl.report.ExitCode;
import org.cyclamenpaddle.ctl.report.Json;

/** Reading of an entry host's answer. */
final class Answer {

    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;

    private Answer() {}

    /** Returns whether the answer is a document, so that it says what became of a change. */
    static boolean said(AggregatedHttpResponse response) {
        return Json.read(response.contentUtf8()).filter(JsonNode::isObject).isPresent();
    }

    /** Reads the answer to a question; whatever is refused of it, nothing was changed. */
    static Either<CommandError, JsonNode> toRead(AggregatedHttpResponse response) {
        return read(response, false);
    }

    /** Reads the answer to a change, of which it may be unknown whether it was made. */
    static Either<CommandError, JsonNode> toChange(AggregatedHttpResponse response) {
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
        String said = problem.path("title").asText() + " " + problem.path("detail").asText();
        JsonNode winner = problem.path("winner");
        String won =
                winner.isMissingNode()
                        ? ""
                        : "; change "
                                + winner.path("changeId").asText()
                                + " won with version "
                                + winner.path("version").asText();
        return problem.path("reason").asText("refused") + ": " + said.strip() + won;
    }

    private static CommandError unreadable(int status) {
        return CommandError.of(
                ExitCode.REFUSED, "the answer with status " + status + " is no JSON document");
    }
}
