package org.cyclamenpaddle.ctl.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.cyclamenpaddle.ctl.client.Change;
import org.cyclamenpaddle.ctl.client.ObjectDocument;
import org.cyclamenpaddle.ctl.report.CommandError;
import org.cyclamenpaddle.ctl.report.ExitCode;
import org.cyclamenpaddle.ctl.report.Json;
import org.cyclamenpaddle.ctl.report.Report;
import org.cyclamenpaddle.ctl.report.ReportTable;

/**
 * Creates or changes the objects of a file. Each change is attempted once; the first failure stops
 * the command.
 */
final class ApplyCommand {

    private ApplyCommand() {}

    static Either<CommandError, Report> run(Arguments arguments, Session session) {
        return ObjectFile.read(arguments.file(), arguments.kind())
                .flatMap(declarations -> apply(declarations, arguments, session));
    }

    private static Either<CommandError, Report> apply(
            List<ObjectFile.Declaration> declarations, Arguments arguments, Session session) {
        if (arguments.expectedVersion().isPresent() && declarations.size() > 1) {
            return Either.left(
                    CommandError.of(
                            ExitCode.USAGE, "--expect-version takes a file with one object"));
        }
        ArrayNode applied = Json.array();
        for (ObjectFile.Declaration declaration : declarations) {
            Either<CommandError, ObjectNode> result = apply(declaration, arguments, session);
            if (result.isLeft()) {
                return Either.left(failed(declaration, result.getLeft(), applied.size()));
            }
            applied.add(result.get());
        }
        return Either.right(
                Report.of(applied, ReportTable.of(applied, "kind", "name", "result", "version")));
    }

    private static Either<CommandError, ObjectNode> apply(
            ObjectFile.Declaration declaration, Arguments arguments, Session session) {
        return session.client()
                .find(declaration.key())
                .flatMap(stored -> write(declaration, stored, arguments, session));
    }

    private static Either<CommandError, ObjectNode> write(
            ObjectFile.Declaration declaration,
            Optional<ObjectDocument> stored,
            Arguments arguments,
            Session session) {
        Optional<JsonNode> currentSpec = stored.map(ObjectDocument::spec);
        JsonNode spec =
                normalized(
                        SpecDefaults.complete(
                                declaration.key().kind(), declaration.declared(), currentSpec));
        long current = stored.map(ObjectDocument::version).orElse(0L);
        long expected = arguments.expectedVersion().orElse(current);
        if (currentSpec.isPresent() && currentSpec.get().equals(spec) && expected == current) {
            return Either.right(row(declaration, "unchanged", current));
        }
        Change change =
                new Change(
                        declaration.key(), Optional.of(spec), expected, session.changeIds().get());
        String result = stored.isPresent() ? "changed" : "created";
        return session.client().change(change).map(version -> row(declaration, result, version));
    }

    /**
     * Serializes and parses the spec, so that its numbers have the same node types as those of a
     * response and compare as equal.
     */
    private static JsonNode normalized(ObjectNode spec) {
        return Json.read(spec.toString()).orElseThrow();
    }

    private static ObjectNode row(ObjectFile.Declaration declaration, String result, long version) {
        ObjectNode row = Json.object();
        row.put("kind", declaration.key().kind().code());
        row.put("name", declaration.key().name());
        row.put("result", result);
        row.put("version", version);
        return row;
    }

    private static CommandError failed(
            ObjectFile.Declaration declaration, CommandError error, int applied) {
        String message =
                declaration.key().kind().code()
                        + " "
                        + declaration.key().name()
                        + ": "
                        + error.message()
                        + " ("
                        + applied
                        + " objects before it were applied, none after it)";
        return new CommandError(error.code(), message, error.problem());
    }
}
