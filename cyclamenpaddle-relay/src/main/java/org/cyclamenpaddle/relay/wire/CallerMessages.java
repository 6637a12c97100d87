package org.cyclamenpaddle.relay.wire;

import com.linecorp.armeria.common.RequestHeaders;
import io.vavr.control.Either;

/** Decodes what callers send. */
@FunctionalInterface
public interface CallerMessages {

    /**
     * Decodes a request.
     *
     * @param headers its headers, without those that concern one connection only
     * @return the request, or what is wrong with it
     */
    Either<String, CallerRequest> request(RequestHeaders headers);
}
