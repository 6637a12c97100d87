package org.cyclamenpaddle.ctl.report;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * Why a command did not do what was asked.
 *
 * @param code exit code
 * @param message one sentence for people
 * @param problem problem document of the entry host, if it sent one
 */
public record CommandError(ExitCode code, String message, Optional<JsonNode> problem) {

    public CommandError {
        if (code == null || message == null || problem == null) {
            throw new IllegalArgumentException("command error needs a code and a message");
        }
    }

    /** Returns an error that no entry host reported. */
    public static CommandError of(ExitCode code, String message) {
        return new CommandError(code, message, Optional.empty());
    }
}
