package org.cyclamenpaddle.relay.wire;

import java.util.Optional;
import java.util.OptionalInt;
import org.cyclamenpaddle.core.id.TeamName;
import org.cyclamenpaddle.relay.backend.Backend;

/**
 * Parameters that the relay adds to a caller's request when it forwards it to a backend server.
 *
 * @param target server that the request is addressed to; another one at its address must not run it
 * @param remainingMillis time left until the response is due
 * @param prefillOnly whether the server is to run the prefill only
 * @param prompt handle of the prompt that another engine has prefilled; empty if there is none
 * @param reservation name of the reservation made for the request; empty if there is none
 * @param team team of the caller; empty if it has none
 * @param priority priority at an engine; 0 is the highest; empty at a plain server
 * @param resumeAfter id of the event after which the stream resumes; empty to start at the
 *     beginning
 */
public record BackendCall(
        Backend target,
        long remainingMillis,
        boolean prefillOnly,
        Optional<PromptHandle> prompt,
        Optional<String> reservation,
        Optional<TeamName> team,
        OptionalInt priority,
        Optional<String> resumeAfter) {

    public BackendCall {
        if (target == null || remainingMillis < 0) {
            throw new IllegalArgumentException(
                    "call needs a target and a remaining time of at least 0 ms");
        }
    }

    /** Returns the same call with another time left. */
    public BackendCall withRemaining(long millis) {
        return new BackendCall(
                target, millis, prefillOnly, prompt, reservation, team, priority, resumeAfter);
    }
}
