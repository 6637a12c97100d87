package org.cyclamenpaddle.ctl.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.Optional;
import org.cyclamenpaddle.core.config.ObjectKey;
import org.cyclamenpaddle.ctl.client.Change;
import org.cyclamenpaddle.ctl.client.ObjectDocument;
import org.cyclamenpaddle.ctl.report.CommandError;
import org.cyclamenpaddle.ctl.report.ExitCode;
import org.cyclamenpaddle.ctl.report.Json;
import org.cyclamenpaddle.ctl.report.Report;
import org.cyclamenpaddle.ctl.report.ReportTable;

/** Puts a preset in force and, if asked, waits until it is so on every live entry host. */
final class PresetUseCommand {

    private static final long POLL_MILLIS = 200;

    private PresetUseCommand() {}

    static Either<CommandError, Report> run(Arguments arguments, Session session) {
        return version(arguments, session)
                .map(expected -> change(arguments.name(), expected, session))
                .flatMap(session.client()::change)
                .flatMap(version -> await(arguments, version, session));
    }

    private static Either<CommandError, Long> version(Arguments arguments, Session session) {
        if (arguments.expectedVersion().isPresent()) {
            return Either.right(arguments.expectedVersion().getAsLong());
        }
        return session.client()
                .find(ObjectKey.inForce())
                .map(found -> found.map(ObjectDocument::version).orElse(0L));
    }

    private static Change change(String preset, long expected, Session session) {
        JsonNode spec = Json.object().put("preset", preset);
        return new Change(
                ObjectKey.inForce(), Optional.of(spec), expected, session.changeIds().get());
    }

    private static Either<CommandError, Report> await(
            Arguments arguments, long version, Session session) {
        if (arguments.waitMillis().isEmpty()) {
            return Either.right(accepted(arguments.name(), version));
        }
        long deadline = session.clock().millis() + arguments.waitMillis().getAsLong();
        InForce last = InForce.NOTHING_SEEN;
        while (true) {
            Either<CommandError, JsonNode> status = session.client().status();
            last = status.map(InForce::of).getOrElse(last);
            if (last.everywhere(arguments.name(), version)) {
                return Either.right(inForce(last, version));
            }
            if (last.superseded(arguments.name(), version)) {
                return Either.left(superseded(last, version));
            }
            if (session.clock().millis() >= deadline) {
                return Either.left(late(last, version));
            }
            session.pause().accept(POLL_MILLIS);
        }
    }

    private static Report accepted(String preset, long version) {
        ObjectNode document = Json.object();
        document.put("preset", preset);
        document.put("version", version);
        return Report.of(document, ReportTable.of(Json.array().add(document), "preset", "version"));
    }

    private static Report inForce(InForce seen, long version) {
        ObjectNode document = Json.object();
        document.put("preset", seen.preset());
        document.put("version", version);
        document.put("hostsInForce", seen.hosts());
        document.put("hostsAlive", seen.alive());
        return Report.of(
                document,
                ReportTable.of(
                        Json.array().add(document),
                        "preset",
                        "version",
                        "hostsInForce",
                        "hostsAlive"));
    }

    private static CommandError superseded(InForce seen, long version) {
        return CommandError.of(
                ExitCode.CONFLICT,
                "accepted as version "
                        + version
                        + ", then superseded by preset "
                        + seen.preset()
                        + " with version "
                        + seen.version());
    }

    private static CommandError late(InForce seen, long version) {
        return CommandError.of(
                ExitCode.TIMED_OUT,
                "accepted as version "
                        + version
                        + ", but seen in force on "
                        + seen.hosts()
                        + " of "
                        + seen.alive()
                        + " live entry hosts only");
    }

    /** What a status document says of the preset in force. */
    private record InForce(String preset, long version, long hosts, long alive) {

        static final InForce NOTHING_SEEN = new InForce("", 0, 0, 0);

        static InForce of(JsonNode status) {
            return new InForce(
                    status.path("presetInForce").asText(),
                    status.path("inForceVersion").asLong(),
                    status.path("hostsInForce").asLong(),
                    status.path("hostsAlive").asLong());
        }

        boolean everywhere(String wanted, long accepted) {
            return version >= accepted && preset.equals(wanted) && hosts == alive && alive > 0;
        }

        boolean superseded(String wanted, long accepted) {
            return version > accepted && !preset.equals(wanted);
        }
    }
}
