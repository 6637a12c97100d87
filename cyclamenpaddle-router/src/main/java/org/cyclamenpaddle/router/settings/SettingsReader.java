package org.cyclamenpaddle.router.settings;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Reads settings files and validates every key against {@link SettingKey}. */
public final class SettingsReader {

    private static final TomlMapper MAPPER = new TomlMapper();

    private SettingsReader() {}

    /**
     * Reads and validates a settings file.
     *
     * @param file path of a TOML file
     * @return the settings, or the first error in the file
     */
    public static Either<SettingsError, RouterSettings> read(Path file) {
        String name = file.toString();
        try {
            return parse(name, Files.readString(file));
        } catch (IOException unreadable) {
            return Either.left(
                    new SettingsError(
                            name,
                            "file",
                            "cannot be read (" + unreadable + ")",
                            "a readable TOML file in UTF-8"));
        }
    }

    /**
     * Parses and validates the text of a settings file.
     *
     * @param file file name for error messages
     * @param text TOML
     * @return the settings, or the first error in the text
     */
    public static Either<SettingsError, RouterSettings> parse(String file, String text) {
        try {
            return new Check(file).settings(MAPPER.readTree(text));
        } catch (JsonProcessingException malformed) {
            return Either.left(
                    new SettingsError(
                            file,
                            location(malformed.getLocation()),
                            malformed.getOriginalMessage(),
                            "TOML 1.0"));
        }
    }

    private static String location(JsonLocation location) {
        return location == null
                ? "file"
                : "line " + location.getLineNr() + ", column " + location.getColumnNr();
    }

    /** Validates the parsed tree of one file. */
    private record Check(String file) {

        Either<SettingsError, RouterSettings> settings(JsonNode root) {
            return Stream.concat(unknown(root), missingOrInvalid(root))
                    .findFirst()
                    .<Either<SettingsError, RouterSettings>>map(Either::left)
                    .orElseGet(() -> build(values(root)));
        }

        private Either<SettingsError, RouterSettings> build(SettingValues values) {
            try {
                return Either.right(RouterSettings.of(values));
            } catch (IllegalArgumentException contradiction) {
                return Either.left(
                        new SettingsError(
                                file,
                                "settings",
                                contradiction.getMessage(),
                                "values that fit each other"));
            }
        }

        private Stream<SettingsError> unknown(JsonNode root) {
            return root.propertyStream()
                    .flatMap(section -> unknownIn(section.getKey(), section.getValue()));
        }

        private Stream<SettingsError> unknownIn(String section, JsonNode content) {
            if (SettingKey.inSection(section).isEmpty()) {
                return Stream.of(
                        new SettingsError(file, section, "unknown section or key", sections()));
            }
            if (!content.isObject()) {
                return Stream.of(
                        new SettingsError(
                                file, section, "is a value", "the section [" + section + "]"));
            }
            return content.propertyStream()
                    .map(Map.Entry::getKey)
                    .filter(key -> SettingKey.find(section, key).isEmpty())
                    .map(
                            key ->
                                    new SettingsError(
                                            file,
                                            section + "." + key,
                                            "unknown key",
                                            keys(section)));
        }

        private Stream<SettingsError> missingOrInvalid(JsonNode root) {
            return Arrays.stream(SettingKey.values())
                    .map(key -> problem(key, value(root, key)))
                    .flatMap(Optional::stream);
        }

        private Optional<SettingsError> problem(SettingKey key, Optional<JsonNode> value) {
            if (value.isEmpty()) {
                return key.defaultValue().isPresent()
                        ? Optional.empty()
                        : Optional.of(error(key, "is missing and has no default"));
            }
            return value.filter(node -> !key.accepts(node))
                    .map(node -> error(key, "bad value " + node));
        }

        private SettingsError error(SettingKey key, String problem) {
            return new SettingsError(file, key.path(), problem, key.allowed());
        }

        private static Optional<JsonNode> value(JsonNode root, SettingKey key) {
            return root.path(key.section()).optional(key.key());
        }

        private static SettingValues values(JsonNode root) {
            Map<SettingKey, JsonNode> values = new EnumMap<>(SettingKey.class);
            for (SettingKey key : SettingKey.values()) {
                value(root, key).or(key::defaultValue).ifPresent(node -> values.put(key, node));
            }
            return new SettingValues(values);
        }

        private static String sections() {
            return Arrays.stream(SettingKey.values())
                    .map(key -> "[" + key.section() + "]")
                    .distinct()
                    .collect(Collectors.joining(", "));
        }

        private static String keys(String section) {
            return SettingKey.inSection(section).stream()
                    .map(SettingKey::key)
                    .collect(Collectors.joining(", "));
        }
    }
}
