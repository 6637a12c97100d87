package org.cyclamenpaddle.relay.wire;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpRequest;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.relay.backend.Backend;

/** Sends calls to backend servers and returns their complete responses. */
@FunctionalInterface
public interface BackendCaller {

    /**
     * How a call is sent.
     *
     * @param keepAlive whether it may use an open connection, which may have become stale
     * @param timeoutMillis time until the response must be complete
     * @param cause id of the caller's request, or what else the call is made for, for logs
     */
    record Options(boolean keepAlive, long timeoutMillis, String cause) {

        public Options {
            if (timeoutMillis < 1 || cause == null) {
                throw new IllegalArgumentException(
                        "call needs a cause and a timeout of at least 1 ms, got " + timeoutMillis);
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
