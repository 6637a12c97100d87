package org.cyclamenpaddle.relay.wire;

import com.linecorp.armeria.common.RequestHeaders;
import java.util.Optional;
import java.util.OptionalLong;
import org.cyclamenpaddle.relay.backend.WorkSize;

/**
 * Decoded request of a caller.
 *
 * @param id identifies this attempt of the caller
 * @param headers headers to forward to backend servers, without those that only the relay may set
 * @param callerTimeoutMillis how long the caller waits for the response; empty if it does not say
 * @param size estimated work of the request
 * @param resumeAfter id of the last event that the caller has received; empty at the beginning
 */
public record CallerRequest(
        String id,
        RequestHeaders headers,
        OptionalLong callerTimeoutMillis,
        WorkSize size,
        Optional<String> resumeAfter) {

    public CallerRequest {
        if (id == null || headers == null || size == null) {
            throw new IllegalArgumentException("request needs an id, headers and a size");
        }
    }
}
