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
 * Objects that a TOML file declares, in the order in which they refer to each other.
 *
 * <p>Members are those of the specs; what a spec leaves out gets the value that {@link
 * SpecDefaults} names. Whether a spec is sound is checked by the entry host alone, so that there is
 * one check.
 */
final class ObjectFile {

    private static final TomlMapper MAPPER = new TomlMapper();

    /** Kinds in the order in which they refer to each other. */
    private static final List<ObjectKind> ORDER =
            List.of(ObjectKind.SERVICE, ObjectKind.BACKEND, ObjectKind.PRESET);

    private ObjectFile() {}

    /**
     * Reads a file.
     *
     * @param file its path
     * @param only the one kind that the file may hold; empty for all kinds
     */
    static Either<CommandError, List<Declaration>> read(String file, Optional<ObjectKind> only) {
        try {
            return objects(file, MAPPER.readTree(Files.readString(Path.of(file))), only);
        } catch (JsonProcessingException malformed) {
            return bad(
                    file,
                    "line "
                            + malformed.getLocation().getLineNr()
                            + ": "
                            + malformed.getOriginalMessage());
        } catch (IOException unreadable) {
            return bad(file, "cannot be read (" + unreadable + ")");
        }
    }

    private static Either<CommandError, List<Declaration>> objects(
            String file, JsonNode root, Optional<ObjectKind> only) {
        List<String> allowed =
                ORDER.stream()
                        .filter(kind -> only.isEmpty() || only.get() == kind)
                        .map(ObjectKind::code)
                        .toList();
        Optional<String> unknown =
                root.propertyStream()
                        .map(member -> member.getKey())
                        .filter(member -> !allowed.contains(member))
                        .findFirst();
        if (unknown.isPresent()) {
            return bad(file, "unknown section " + unknown.get() + "; allowed: " + allowed);
        }
        List<Declaration> declarations = new ArrayList<>();
        for (ObjectKind kind : ORDER) {
            for (JsonNode object : root.path(kind.code())) {
                Optional<Declaration> declaration = Declaration.of(kind, object);
                if (declaration.isEmpty()) {
                    return bad(file, "a [[" + kind.code() + "]] has no usable name");
                }
                declarations.add(declaration.get());
            }
        }
        return declarations.isEmpty() ? bad(file, "declares nothing") : unique(file, declarations);
    }

    private static Either<CommandError, List<Declaration>> unique(
            String file, List<Declaration> declarations) {
        Stream<ObjectKey> keys = declarations.stream().map(Declaration::key);
        return keys.distinct().count() == declarations.size()
                ? Either.right(declarations)
                : bad(file, "declares an object twice");
    }

    private static <T> Either<CommandError, T> bad(String file, String problem) {
        return Either.left(CommandError.of(ExitCode.BAD_FILE, file + ": " + problem));
    }

    /**
     * One object of a file.
     *
     * @param key which
     * @param declared members that the file names
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
