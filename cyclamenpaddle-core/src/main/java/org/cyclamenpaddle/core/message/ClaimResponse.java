package org.cyclamenpaddle.core.message;

import java.util.Optional;

/**
 * Response to {@link ClaimRequest}.
 *
 * @param state what the responding host knows of the call
 * @param response the stored response, if {@code state} is {@link State#RAN}
 */
public record ClaimResponse(State state, Optional<StoredResponse> response) implements PeerMessage {

    /** What a host knows of the call under an idempotency key. */
    public enum State {
        /** The call is running. */
        RUNNING,
        /** The call ran, and its response is stored. */
        RAN,
        /** Provably no byte of the call was sent. */
        NOT_RUN,
        /** The call may have run. */
        UNKNOWN,
        /** The host has no record of the key. */
        NO_RECORD
    }

    /**
     * A response stored for replay to callers that send the same call again.
     *
     * @param status HTTP status
     * @param contentType its media type
     * @param body its body
     */
    public record StoredResponse(int status, String contentType, String body) {}
}
