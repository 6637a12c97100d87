package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.common.HttpData;
import java.util.Optional;
import org.cyclamenpaddle.core.id.SoftwareVersion;
import org.cyclamenpaddle.engine.http.ResponseEnd;
import org.cyclamenpaddle.relay.wire.BackendResponse;

/** Takes the response of one attempt at a backend server. */
interface ResponseSink {

    /** Returns whether a response can follow what has been forwarded to the caller. */
    boolean mayContinueWith(BackendResponse head);

    /**
     * Accepts the head of a response.
     *
     * @param version software version of the server; empty if it is not known
     */
    void head(BackendResponse head, Optional<SoftwareVersion> version);

    /**
     * Accepts body data.
     *
     * @param next run when more data can be accepted
     */
    void data(HttpData data, long nowMillis, Runnable next);

    /**
     * Decides how the response ended.
     *
     * @param framed how it ended according to its framing
     */
    ResponseEnd ended(ResponseEnd framed);

    /** Returns whether the caller has received the head of a response. */
    boolean isForwarding();
}
