package org.cyclamenpaddle.ctl.log;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.Optional;
import org.cyclamenpaddle.ctl.report.Json;

/**
 * One decision line of a relay's log.
 *
 * @param time when it was written
 * @param fields all of its fields
 */
public record LogLine(Instant time, JsonNode fields) {

    /** Reads a line; empty for what is no decision line, such as a stack trace between them. */
    static Optional<LogLine> of(String text) {
        return Json.read(text).flatMap(LogLine::of);
    }

    private static Optional<LogLine> of(JsonNode fields) {
        try {
            Instant time = Instant.parse(fields.path("time").asText());
            return fields.path("code").isTextual()
                    ? Optional.of(new LogLine(time, fields))
                    : Optional.empty();
        } catch (DateTimeException noTime) {
            return Optional.empty();
        }
    }

    /** Returns the code of the event. */
    public String code() {
        return text("code");
    }

    /** Returns a field as text; empty text without it. */
    public String text(String field) {
        return fields.path(field).asText();
    }

    /** Returns a field as a number; 0 without it. */
    public long number(String field) {
        return fields.path(field).asLong();
    }
}
