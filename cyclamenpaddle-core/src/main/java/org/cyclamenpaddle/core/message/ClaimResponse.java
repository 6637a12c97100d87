package org.cyclamenpaddle.core.message;

import java.util.Optional;

/**
 * Answer to {@link ClaimRequest}.
 *
 * @param state what the claimer knows
 * @param response the kept answer, if {@code state} is {@link State#RAN}
 */
public record ClaimResponse(State state, Optional<StoredResponse> response) implements PeerMessage {

    /** What a claimer knows of the call under a key. */
    public enum State {
        /** The call is running. */
        RUNNING,
        /** The call ran, and its answer is kept. */
        RAN,
        /** Provably no byte of the call left. */
        NOT_RUN,
        /** It may have run. */
        UNKNOWN,
        /** The host asked has no memory of the key. */
        NO_RECORD
    }

    /**
     * An answer kept for resends.
     *
     * @param status HTTP status
     * @param contentType its media type
     * @param body its body
     */
    public record StoredResponse(int status, String contentType, String body) {}
}
