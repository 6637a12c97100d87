package org.cyclamenpaddle.ctl.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.cyclamenpaddle.core.config.ObjectKey;
import org.cyclamenpaddle.core.config.ObjectKind;
import org.cyclamenpaddle.ctl.report.CommandError;
import org.cyclamenpaddle.ctl.report.ExitCode;

/**
 * Reads the objects that a TOML file declares, in dependency order.
 *
 * <p>Members are those of the specs; {@link SpecDefaults} provides the values of omitted members.
 * Specs are validated by the entry host only, so that there is a single implementation of the
 * checks.
 */
final class ObjectFile {

    private static final TomlMapper MAPPER = new TomlMapper();

    /** Kinds in dependency order: each kind references only kinds before it. */
    private static final List<ObjectKind> DEPENDENCY_ORDER =
            List.of(ObjectKind.SERVICE, ObjectKind.BACKEND, ObjectKind.PRESET);

    private ObjectFile() {}

    /**
     * Reads a file.
     *
     * @param file path of the file
     * @param allowedKind the only kind that the file may contain; empty for all kinds
     */
    static Either<CommandError, List<Declaration>> read(
            String file, Optional<ObjectKind> allowedKind) {
        try {
            return objects(file, MAPPER.readTree(Files.readString(Path.of(file))), allowedKind);
        } catch (JsonProcessingException malformed) {
            return badFile(
                    file,
                    "line "
                            + malformed.getLocation().getLineNr()
                            + ": "
                            + malformed.getOriginalMessage());
        } catch (IOException unreadable) {
            return badFile(file, "cannot be read (" + unreadable + ")");
        }
    }

    private static Either<CommandError, List<Declaration>> objects(
            String file, JsonNode root, Optional<ObjectKind> allowedKind) {
        List<String> allowed =
                DEPENDENCY_ORDER.stream()
                        .filter(kind -> allowedKind.isEmpty() || allowedKind.get() == kind)
                        .map(ObjectKind::code)
                        .toList();
        Optional<String> unknown =
                root.propertyStream()
                        .map(member -> member.getKey())
                        .filter(member -> !allowed.contains(member))
                        .findFirst();
        if (unknown.isPresent()) {
            return badFile(file, "unknown section " + unknown.get() + "; allowed: " + allowed);
        }
        List<Declaration> declarations = new ArrayList<>();
        for (ObjectKind kind : DEPENDENCY_ORDER) {
            for (JsonNode object : root.path(kind.code())) {
                Optional<Declaration> declaration = Declaration.of(kind, object);
                if (declaration.isEmpty()) {
                    return badFile(file, "a [[" + kind.code() + "]] has no usable name");
                }
                declarations.add(declaration.get());
            }
        }
        return declarations.isEmpty()
                ? badFile(file, "declares no objects")
                : unique(file, declarations);
    }

    private static Either<CommandError, List<Declaration>> unique(
            String file, List<Declaration> declarations) {
        Stream<ObjectKey> keys = declarations.stream().map(Declaration::key);
        return keys.distinct().count() == declarations.size()
                ? Either.right(declarations)
                : badFile(file, "declares an object twice");
    }

    private static <T> Either<CommandError, T> badFile(String file, String problem) {
        return Either.left(CommandError.of(ExitCode.BAD_FILE, file + ": " + problem));
    }

    /**
     * One object of a file.
     *
     * @param key key of the object
     * @param declared members that the file specifies
     */
    record Declaration(ObjectKey key, ObjectNode declared) {

        static Optional<Declaration> of(ObjectKind kind, JsonNode object) {
            String name = object.path(SpecDefaults.nameMember(kind)).asText();
            if (!object.isObject() || name.isEmpty() || name.indexOf('/') >= 0) {
                return Optional.empty();
            }
            return Optional.of(new Declaration(new ObjectKey(kind, name), (ObjectNode) object));
        }
    }
}
