package org.cyclamenpaddle.engine.http;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.Endpoint;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.SessionProtocol;
import org.cyclamenpaddle.core.config.BackendSpec;

/**
 * Makes HTTP clients of backend servers that open a connection for each call.
 *
 * <p>An open connection can go silent for good while new ones work, and a server may close a kept
 * one while a call is written to it, after which nobody can tell whether the call ran. A connection
 * that carries one call only has neither fault: a failed connect proves that nothing left, and a
 * retry always meets a new connection. It costs one round trip, about 3 ms at worst between failure
 * domains. HTTP/1.1, because an upgrade to HTTP/2 would put a second exchange before the call.
 */
public final class BackendConnections implements AutoCloseable {

    private static final long CONNECT_TIMEOUT_MILLIS = 300;
    private static final long MAX_RESPONSE_BYTES = 16L << 20;

    private final ClientFactory mFactory =
            ClientFactory.builder()
                    .connectTimeoutMillis(CONNECT_TIMEOUT_MILLIS)
                    .maxNumRequestsPerConnection(1)
                    .build();

    /** Returns a client of a backend server; its calls have no timeout unless they set one. */
    public WebClient client(BackendSpec backend) {
        return WebClient.builder(
                        SessionProtocol.H1C, Endpoint.of(backend.address(), backend.port()))
                .factory(mFactory)
                .responseTimeoutMillis(0)
                .maxResponseLength(MAX_RESPONSE_BYTES)
                .build();
    }

    @Override
    public void close() {
        mFactory.close();
    }
}
