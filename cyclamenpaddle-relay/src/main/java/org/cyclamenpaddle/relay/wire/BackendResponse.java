package org.cyclamenpaddle.relay.wire;

import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import java.util.Optional;

/**
 * Decoded response head of a backend server.
 *
 * @param headers response headers as received
 * @param requestId id of the request that the response belongs to, all of them if the server names
 *     several; empty if it names none
 * @param signed whether the response carries the server's signature
 * @param notRun whether the server states that it has not run the request and never will
 */
public record BackendResponse(
        ResponseHeaders headers, Optional<String> requestId, boolean signed, boolean notRun) {

    public BackendResponse {
        if (headers == null || requestId == null) {
            throw new IllegalArgumentException("response needs headers and a request id");
        }
    }

    /**
     * Returns whether this is the response to a request, and not a second one to an earlier request
     * on its connection, which a faulty server may send where the next response is expected.
     * Nothing in the response may be used before.
     *
     * @param request id of the request; empty for a call without one
     */
    public boolean answers(Optional<String> request) {
        return requestId.equals(request);
    }

    /** Returns whether the request reached a server other than the one it was addressed to. */
    public boolean misdirected() {
        return notRun && headers.status().equals(HttpStatus.MISDIRECTED_REQUEST);
    }

    /** Returns whether the status is a success. */
    public boolean success() {
        return headers.status().isSuccess();
    }
}
