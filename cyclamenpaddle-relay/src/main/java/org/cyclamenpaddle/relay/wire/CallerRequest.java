package org.cyclamenpaddle.relay.wire;

import com.linecorp.armeria.common.RequestHeaders;
import java.util.Optional;
import java.util.OptionalLong;
import org.cyclamenpaddle.relay.backend.WorkSize;
import org.cyclamenpaddle.relay.team.ApiKeyDigest;

/**
 * Decoded request of a caller.
 *
 * @param id identifies this attempt of the caller
 * @param headers headers to forward to backend servers, without the caller's credentials and those
 *     that only the relay may set
 * @param key digest of the caller's API key; empty without a usable one
 * @param callerTimeoutMillis how long the caller waits for the response; empty if it does not say
 * @param size estimated work of the request
 * @param declaredTokens prompt tokens and maximum output tokens that the caller declares; empty
 *     without a declaration
 * @param resumeAfter id of the last event that the caller has received; empty at the beginning
 * @param firstAttempt id of the attempt that brought the first event of a stream that the caller
 *     takes up; empty if it names none
 * @param parts parts of the prompt that other requests may have too
 */
public record CallerRequest(
        String id,
        RequestHeaders headers,
        Optional<ApiKeyDigest> key,
        OptionalLong callerTimeoutMillis,
        WorkSize size,
        OptionalLong declaredTokens,
        Optional<String> resumeAfter,
        Optional<String> firstAttempt,
        PromptParts parts) {

    public CallerRequest {
        if (id == null || headers == null || key == null || size == null || parts == null) {
            throw new IllegalArgumentException(
                    "request needs an id, headers, an optional key, a size and prompt parts");
        }
    }

    /** Returns this request with another timeout and another event to resume after. */
    public CallerRequest with(long timeoutMillis, Optional<String> resumeAfterId) {
        return new CallerRequest(
                id,
                headers,
                key,
                OptionalLong.of(timeoutMillis),
                size,
                declaredTokens,
                resumeAfterId,
                firstAttempt,
                parts);
    }
}
