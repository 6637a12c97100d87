package org.cyclamenpaddle.ctl.log;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.Optional;
import org.cyclamenpaddle.ctl.report.Json;

/**
 * One decision line of a relay's log.
 *
 * @param time time of the event
 * @param fields all fields of the line
 */
public record LogLine(Instant time, JsonNode fields) {

    /** Parses a line; empty if it is not a decision line, such as a line of a stack trace. */
    static Optional<LogLine> of(String text) {
        return Json.read(text).flatMap(LogLine::of);
    }

    private static Optional<LogLine> of(JsonNode fields) {
        try {
            Instant time = Instant.parse(fields.path("time").asText());
            return fields.path("code").isTextual()
                    ? Optional.of(new LogLine(time, fields))
                    : Optional.empty();
        } catch (DateTimeException malformed) {
            return Optional.empty();
        }
    }

    public String code() {
        return text("code");
    }

    /** Returns a field as text; the empty string if it is missing. */
    public String text(String field) {
        return fields.path(field).asText();
    }

    /** Returns a field as a number; 0 if it is missing. */
    public long number(String field) {
        return fields.path(field).asLong();
    }
}
