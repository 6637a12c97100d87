package org.cyclamenpaddle.relay.wire;

import com.linecorp.armeria.common.RequestHeaders;
import io.vavr.control.Either;

/** Decodes callers' requests. */
@FunctionalInterface
public interface CallerMessages {

    /**
     * Decodes a request.
     *
     * @param headers request headers without hop-by-hop headers
     * @return the request, or the reason why it is invalid
     */
    Either<String, CallerRequest> request(RequestHeaders headers);
}
