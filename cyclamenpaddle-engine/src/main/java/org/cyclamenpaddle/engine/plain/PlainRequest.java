package org.cyclamenpaddle.engine.plain;

import java.util.Optional;
import org.cyclamenpaddle.core.id.AttemptId;

/**
 * A call to forward to a plain service.
 *
 * @param attempt identity of this attempt
 * @param method HTTP method
 * @param pathAndQuery path below the service with its query, starting with '/'
 * @param contentType media type of the body, if the caller gave one
 * @param body the body, possibly empty
 * @param idempotencyKey the caller's idempotency key, if any
 * @param timeoutMillis response timeout, in milliseconds
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
