package org.cyclamenpaddle.relay.wire;

import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.directive.Directives;

/** Encodes requests to backend servers and decodes the heads of their responses. */
public interface BackendMessages {

    /** Returns the headers with which a caller's request is forwarded. */
    RequestHeaders request(CallerRequest request, BackendCall call);

    /** Returns the headers of a health check, which another server at the address rejects. */
    RequestHeaders healthCheck(Backend target, String path);

    /** Decodes the head of a response. */
    BackendResponse response(ResponseHeaders headers);

    /** Decodes what a server asks of its callers in the head of any response. */
    Directives directives(ResponseHeaders headers);
}
