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

/**
 * Puts a preset in force and, with {@code --wait}, polls until it is in force on every live entry
 * host.
 */
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
        InForce last = InForce.NO_STATUS;
        while (true) {
            Either<CommandError, JsonNode> status = session.client().status();
            last = status.map(InForce::of).getOrElse(last);
            if (last.isOnAllHosts(arguments.name(), version)) {
                return Either.right(inForce(last, version));
            }
            if (last.isSuperseded(arguments.name(), version)) {
                return Either.left(superseded(last, version));
            }
            if (session.clock().millis() >= deadline) {
                return Either.left(timedOut(last, version));
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

    private static Report inForce(InForce observed, long version) {
        ObjectNode document = Json.object();
        document.put("preset", observed.preset());
        document.put("version", version);
        document.put("hostsInForce", observed.hosts());
        document.put("hostsAlive", observed.alive());
        return Report.of(
                document,
                ReportTable.of(
                        Json.array().add(document),
                        "preset",
                        "version",
                        "hostsInForce",
                        "hostsAlive"));
    }

    private static CommandError superseded(InForce observed, long version) {
        return CommandError.of(
                ExitCode.CONFLICT,
                "accepted as version "
                        + version
                        + ", then superseded by preset "
                        + observed.preset()
                        + " with version "
                        + observed.version());
    }

    private static CommandError timedOut(InForce observed, long version) {
        return CommandError.of(
                ExitCode.TIMED_OUT,
                "accepted as version "
                        + version
                        + ", but observed in force on "
                        + observed.hosts()
                        + " of "
                        + observed.alive()
                        + " live entry hosts only");
    }

    /** The preset in force as reported by a status document. */
    private record InForce(String preset, long version, long hosts, long alive) {

        static final InForce NO_STATUS = new InForce("", 0, 0, 0);

        static InForce of(JsonNode status) {
            return new InForce(
                    status.path("presetInForce").asText(),
                    status.path("inForceVersion").asLong(),
                    status.path("hostsInForce").asLong(),
                    status.path("hostsAlive").asLong());
        }

        boolean isOnAllHosts(String requested, long accepted) {
            return version >= accepted && preset.equals(requested) && hosts == alive && alive > 0;
        }

        boolean isSuperseded(String requested, long accepted) {
            return version > accepted && !preset.equals(requested);
        }
    }
}
