package org.cyclamenpaddle.ctl.report;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * Error of a command.
 *
 * @param code exit code
 * @param message human-readable message of one sentence
 * @param problem problem document of the entry host; empty if it sent none
 */
public record CommandError(ExitCode code, String message, Optional<JsonNode> problem) {

    public CommandError {
        if (code == null || message == null || problem == null) {
            throw new IllegalArgumentException("code, message and problem must not be null");
        }
    }

    /** Returns an error without a problem document of an entry host. */
    public static CommandError of(ExitCode code, String message) {
        return new CommandError(code, message, Optional.empty());
    }
}
