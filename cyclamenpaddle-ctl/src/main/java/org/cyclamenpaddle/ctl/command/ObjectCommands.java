package org.cyclamenpaddle.ctl.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cyclamenpaddle.core.config.ObjectKey;
import org.cyclamenpaddle.core.config.ObjectKind;
import org.cyclamenpaddle.ctl.client.Change;
import org.cyclamenpaddle.ctl.client.ObjectDocument;
import org.cyclamenpaddle.ctl.report.CommandError;
import org.cyclamenpaddle.ctl.report.ExitCode;
import org.cyclamenpaddle.ctl.report.Json;
import org.cyclamenpaddle.ctl.report.Report;
import org.cyclamenpaddle.ctl.report.ReportTable;

/** Commands that list, show, delete and drain configuration objects. */
final class ObjectCommands {

    private ObjectCommands() {}

    static Either<CommandError, Report> list(Arguments arguments, Session session) {
        return session.client().list(kind(arguments)).map(ObjectCommands::listReport);
    }

    static Either<CommandError, Report> show(Arguments arguments, Session session) {
        return existing(arguments, session).map(ObjectCommands::showReport);
    }

    static Either<CommandError, Report> delete(Arguments arguments, Session session) {
        ObjectKey key = key(arguments);
        Either<CommandError, Long> version =
                arguments.expectedVersion().isPresent()
                        ? Either.right(arguments.expectedVersion().getAsLong())
                        : existing(arguments, session).map(ObjectDocument::version);
        return version.map(v -> new Change(key, Optional.empty(), v, session.changeIds().get()))
                .flatMap(session.client()::change)
                .map(deleted -> outcome(key, "deleted", deleted));
    }

    static Either<CommandError, Report> drain(Arguments arguments, Session session) {
        return session.client()
                .drain(arguments.name(), session.changeIds().get())
                .map(object -> outcome(key(arguments), "leaving", object.version()));
    }

    /** Returns a report with one row: the result of a change to an object. */
    static Report outcome(ObjectKey key, String result, long version) {
        ObjectNode document = Json.object();
        document.put("kind", key.kind().code());
        document.put("name", key.name());
        document.put("result", result);
        document.put("version", version);
        ArrayNode rows = Json.array().add(document);
        return Report.of(document, ReportTable.of(rows, "kind", "name", "result", "version"));
    }

    private static ObjectKind kind(Arguments arguments) {
        return arguments.kind().orElseThrow();
    }

    private static ObjectKey key(Arguments arguments) {
        return new ObjectKey(kind(arguments), arguments.name());
    }

    private static Either<CommandError, ObjectDocument> existing(
            Arguments arguments, Session session) {
        return session.client()
                .find(key(arguments))
                .flatMap(
                        found ->
                                found.<Either<CommandError, ObjectDocument>>map(Either::right)
                                        .orElseGet(() -> Either.left(notFound(key(arguments)))));
    }

    private static CommandError notFound(ObjectKey key) {
        return CommandError.of(
                ExitCode.NOT_FOUND, "there is no " + key.kind().code() + " " + key.name());
    }

    private static Report listReport(List<ObjectDocument> objects) {
        ArrayNode array = Json.array();
        objects.forEach(object -> array.add(document(object)));
        return Report.of(array, ReportTable.of(array, "name", "version", "changeId"));
    }

    private static Report showReport(ObjectDocument object) {
        List<List<String>> rows =
                object.spec().propertyStream().flatMap(member -> rows(member).stream()).toList();
        ObjectNode document = document(object);
        ReportTable summary =
                ReportTable.of(Json.array().add(document), "name", "version", "changeId");
        return new Report(
                document, List.of(summary, new ReportTable(List.of("member", "value"), rows)));
    }

    private static List<List<String>> rows(Map.Entry<String, JsonNode> member) {
        JsonNode value = member.getValue();
        if (!value.isArray()) {
            return List.of(List.of(member.getKey(), value.asText()));
        }
        return value.valueStream().map(item -> List.of(member.getKey(), item.toString())).toList();
    }

    private static ObjectNode document(ObjectDocument object) {
        ObjectNode node = Json.object();
        node.put("name", object.name());
        node.put("version", object.version());
        node.put("changeId", object.changeId());
        node.set("spec", object.spec());
        return node;
    }
}
