package org.cyclamenpaddle.relay.wire;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpRequest;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.relay.backend.Backend;

/** Sends calls to backend servers and returns their complete responses. */
@FunctionalInterface
public interface BackendCaller {

    /** Why a call is made. */
    enum Purpose {
        /** New work, which a server that shuts down does not accept. */
        WORK,
        /** Release of what this host holds at the server. */
        RELEASE,
        /** Check of a server, which also runs earlier requests while it shuts down. */
        CHECK
    }

    /**
     * How a call is sent.
     *
     * @param keepAlive whether it may use an open connection, which may have become stale
     * @param timeoutMillis time until the response must be complete
     * @param purpose whether the call is for new work
     * @param cause id of the caller's request, or what else the call is made for, for logs
     */
    record Options(boolean keepAlive, long timeoutMillis, Purpose purpose, String cause) {

        public Options {
            if (timeoutMillis < 1 || purpose == null || cause == null) {
                throw new IllegalArgumentException(
                        "call needs a purpose, a cause and a timeout of at least 1 ms, got "
                                + timeoutMillis);
            }
        }
    }

    /**
     * Sends a call.
     *
     * @return completes with the response, or exceptionally if there is none in time
     */
    CompletableFuture<AggregatedHttpResponse> call(
            Backend target, Options options, HttpRequest request);
}
