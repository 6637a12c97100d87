package org.cyclamenpaddle.engine.plain;

import java.util.Optional;
import org.cyclamenpaddle.core.id.AttemptId;

/**
 * A call to forward to a plain service.
 *
 * @param attempt identity of this try
 * @param method HTTP method
 * @param pathAndQuery path below the service with its query, starting with '/'
 * @param contentType media type of the body, if the caller named one
 * @param body the body, perhaps empty
 * @param idempotencyKey the caller's key, if any
 * @param timeoutMillis longest wait for the answer, in milliseconds
 */
public record PlainRequest(
        AttemptId attempt,
        String method,
        String pathAndQuery,
        Optional<String> contentType,
        byte[] body,
        Optional<String> idempotencyKey,
        long timeoutMillis) {
    public PlainRequest {
        if (pathAndQuery == null || !pathAndQuery.startsWith("/")) {
            throw new IllegalArgumentException("path '" + pathAndQuery + "' must start with '/'");
        }
        if (timeoutMillis <= 0) {
            throw new IllegalArgumentException(
                    "call timeout " + timeoutMillis + " ms must be above 0");
        }
    }
}
