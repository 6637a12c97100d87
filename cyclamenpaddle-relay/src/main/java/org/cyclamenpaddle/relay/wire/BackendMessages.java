package org.cyclamenpaddle.relay.wire;

import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;

/** Encodes callers' requests for backend servers, and decodes the heads of their answers. */
public interface BackendMessages {

    /** Returns the headers with which a caller's request is sent on. */
    RequestHeaders request(CallerRequest request, BackendCall call);

    /** Decodes the head of an answer. */
    BackendResponse response(ResponseHeaders headers);
}
