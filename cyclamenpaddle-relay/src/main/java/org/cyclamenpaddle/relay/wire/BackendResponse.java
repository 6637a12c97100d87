package org.cyclamenpaddle.relay.wire;

import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import java.util.Optional;

/**
 * Head of a backend server's answer, decoded.
 *
 * @param headers as they came
 * @param requestId id of the request that it answers, if it says so
 * @param signed whether the server vouches for the answer
 * @param notRun whether the server says that it has not run the request and never will
 */
public record BackendResponse(
        ResponseHeaders headers, Optional<String> requestId, boolean signed, boolean notRun) {

    public BackendResponse {
        if (headers == null || requestId == null) {
            throw new IllegalArgumentException("answer needs headers");
        }
    }

    /** Returns whether the server says that another one was meant. */
    public boolean misdirected() {
        return notRun && headers.status().equals(HttpStatus.MISDIRECTED_REQUEST);
    }

    /** Returns whether the status says success. */
    public boolean success() {
        return headers.status().isSuccess();
    }
}
