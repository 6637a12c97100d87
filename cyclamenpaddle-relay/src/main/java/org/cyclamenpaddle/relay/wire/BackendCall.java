package org.cyclamenpaddle.relay.wire;

import java.util.Optional;
import org.cyclamenpaddle.relay.backend.Backend;

/**
 * What the relay itself says to a backend server along with a caller's request.
 *
 * @param target the server that is meant; another one at its address must not run the request
 * @param remainingMillis time left for the answer
 * @param prefillOnly whether only the prompt is to be read
 * @param prompt the prompt read elsewhere; empty if there is none
 * @param reservation name of the place that is kept for the request; empty if there is none
 * @param resumeAfter id of the event after which to go on; empty for the beginning
 */
public record BackendCall(
        Backend target,
        long remainingMillis,
        boolean prefillOnly,
        Optional<PromptHandle> prompt,
        Optional<String> reservation,
        Optional<String> resumeAfter) {

    public BackendCall {
        if (target == null || remainingMillis < 0) {
            throw new IllegalArgumentException("call needs a target and time");
        }
    }
}
