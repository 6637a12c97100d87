package org.cyclamenpaddle.relay.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.cyclamenpaddle.routing.buffer.ByteBounds;
import org.cyclamenpaddle.routing.limit.QuotaBounds;

/** Reads and validates a relay's settings file. */
public final class RelaySettingsReader {

    private static final TomlMapper MAPPER = new TomlMapper();

    private RelaySettingsReader() {}

    /**
     * Reads a file.
     *
     * @return the settings, or a one-line error message that starts with the file name
     */
    public static Either<String, RelaySettings> read(Path file) {
        try {
            return parse(Files.readString(file)).mapLeft(problem -> file + ": " + problem);
        } catch (IOException unreadable) {
            return Either.left(file + ": cannot be read (" + unreadable + ")");
        }
    }

    /** Parses and validates the text of a file. */
    public static Either<String, RelaySettings> parse(String text) {
        try {
            return Either.right(settings(SettingsTable.root(MAPPER.readTree(text))));
        } catch (JsonProcessingException malformed) {
            return Either.left(malformed.getOriginalMessage());
        } catch (IllegalArgumentException invalid) {
            return Either.left(invalid.getMessage());
        }
    }

    private static RelaySettings settings(SettingsTable file) {
        RelaySettings settings =
                new RelaySettings(
                        host(file.table("host")),
                        listen(file.table("listen")),
                        store(file.table("store")),
                        stop(file.table("stop")),
                        retry(file.table("retry")),
                        file.optionalTable("quota")
                                .map(RelaySettingsReader::quota)
                                .orElse(QuotaBounds.DEFAULTS),
                        file.optionalTable("limits")
                                .map(RelaySettingsReader::limits)
                                .orElse(ByteBounds.UNBOUNDED));
        file.rejectUnknownKeys();
        return settings;
    }

    private static RelaySettings.Host host(SettingsTable table) {
        RelaySettings.Host host = new RelaySettings.Host(table.text("name"), table.text("domain"));
        table.rejectUnknownKeys();
        return host;
    }

    private static RelaySettings.Listen listen(SettingsTable table) {
        RelaySettings.Listen listen =
                new RelaySettings.Listen(
                        table.endpoint("callers"),
                        table.endpoint("checks"),
                        table.endpoint("peers"),
                        table.optionalEndpoint("requests"));
        table.rejectUnknownKeys();
        return listen;
    }

    private static RelaySettings.Store store(SettingsTable table) {
        RelaySettings.Store store = new RelaySettings.Store(table.endpoint("address"));
        table.rejectUnknownKeys();
        return store;
    }

    private static RelaySettings.Stop stop(SettingsTable table) {
        RelaySettings.Stop stop = new RelaySettings.Stop(table.number("graceSeconds"));
        table.rejectUnknownKeys();
        return stop;
    }

    private static RelaySettings.Retry retry(SettingsTable table) {
        RelaySettings.Retry retry =
                new RelaySettings.Retry(
                        table.number("share"),
                        table.number("slack"),
                        table.number("windowSeconds"));
        table.rejectUnknownKeys();
        return retry;
    }

    private static ByteBounds limits(SettingsTable table) {
        ByteBounds bounds = ByteBounds.ofMemory(table.positive("memoryMb"));
        table.rejectUnknownKeys();
        return bounds;
    }

    private static QuotaBounds quota(SettingsTable table) {
        QuotaBounds bounds =
                new QuotaBounds(
                        table.positive("windowSeconds"),
                        table.notNegative("overage"),
                        table.notNegative("slack"));
        table.rejectUnknownKeys();
        return bounds;
    }
}
