package org.cyclamenpaddle.relay.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads and checks a relay's settings file. */
public final class RelaySettingsReader {

    private static final TomlMapper MAPPER = new TomlMapper();

    private RelaySettingsReader() {}

    /**
     * Reads a file.
     *
     * @return the settings, or one line that says what is wrong and where
     */
    public static Either<String, RelaySettings> read(Path file) {
        try {
            return parse(Files.readString(file)).mapLeft(problem -> file + ": " + problem);
        } catch (IOException unreadable) {
            return Either.left(file + ": cannot be read (" + unreadable + ")");
        }
    }

    /** Checks the text of a file. */
    public static Either<String, RelaySettings> parse(String text) {
        try {
            RelaySettings settings = MAPPER.readValue(text, RelaySettings.class);
            return settings == null ? Either.left("it is empty") : Either.right(settings);
        } catch (JsonProcessingException wrong) {
            return Either.left(wrong.getOriginalMessage());
        }
    }
}
