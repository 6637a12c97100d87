package org.cyclamenpaddle.relay.wire;

import com.linecorp.armeria.common.RequestHeaders;
import java.util.Optional;
import java.util.OptionalLong;
import org.cyclamenpaddle.relay.backend.WorkSize;

/**
 * A caller's request, decoded.
 *
 * @param id names this attempt of the caller
 * @param headers what backend servers are to see, without anything that only the relay may say
 * @param callerTimeoutMillis how long the caller waits; empty if it does not say
 * @param size its work
 * @param resumeAfter id of the last event that the caller has; empty at the beginning
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
