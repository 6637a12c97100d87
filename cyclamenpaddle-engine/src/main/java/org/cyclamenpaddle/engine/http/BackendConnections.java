package org.cyclamenpaddle.engine.http;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.ClientFactoryOptions;
import com.linecorp.armeria.client.Endpoint;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.SessionProtocol;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.http.CleartextClients;

/**
 * Makes HTTP clients of backend servers: for calls, and for reading what they report.
 *
 * <p>Calls open a connection each. An open connection can go silent for good while new ones work,
 * and a server may close a kept one while a call is written to it, after which nobody can tell
 * whether the call ran. A connection that carries one call only has neither fault: a failed connect
 * proves that nothing left, and a retry always meets a new connection. It costs one round trip,
 * about 3 ms at worst between failure domains.
 *
 * <p>Reports are read again and again, so that new connections would cost more processor time than
 * the reading. They are read over kept connections, and once more over a new one if that fails. The
 * same goes for calls that may be repeated, and for one that follows an answer over the same
 * connection within a second: where new connections have a price, they are two thirds of all.
 *
 * <p>All is HTTP/1.1: an upgrade to HTTP/2 would put a second exchange before a call, and a kept
 * connection on which an answer times out is closed by the library rather than shared further.
 */
public final class BackendConnections implements AutoCloseable {

    private static final long CONNECT_TIMEOUT_MILLIS = 300;
    private static final long KEPT_IDLE_MILLIS = 10_000;
    private static final long MAX_RESPONSE_BYTES = 16L << 20;

    private final ClientFactory mSingleUse =
            CleartextClients.factory()
                    .connectTimeoutMillis(CONNECT_TIMEOUT_MILLIS)
                    .maxNumRequestsPerConnection(1)
                    .option(ClientFactoryOptions.CHANNEL_PIPELINE_CUSTOMIZER, ResetWatch::watch)
                    .build();

    private final ClientFactory mKept =
            CleartextClients.factory()
                    .connectTimeoutMillis(CONNECT_TIMEOUT_MILLIS)
                    .idleTimeoutMillis(KEPT_IDLE_MILLIS)
                    .option(ClientFactoryOptions.CHANNEL_PIPELINE_CUSTOMIZER, ResetWatch::watch)
                    .build();

    /**
     * Returns a client that opens a connection for each call.
     *
     * @param backend the backend server; calls have no timeout unless they set one
     */
    public WebClient client(BackendSpec backend) {
        return client(backend.address(), backend.port());
    }

    /**
     * Returns a client that opens a connection for each call.
     *
     * @param address IP number of the backend server; calls have no timeout unless they set one
     * @param port its TCP port
     */
    public WebClient client(String address, int port) {
        return client(address, port, mSingleUse);
    }

    /**
     * Returns a client that keeps connections, for reads that may be repeated.
     *
     * @param backend the backend server; reads have no timeout unless they set one
     */
    public WebClient keepAliveClient(BackendSpec backend) {
        return keepAliveClient(backend.address(), backend.port());
    }

    /**
     * Returns a client that keeps connections, for calls that may be repeated.
     *
     * @param address IP number of the backend server; calls have no timeout unless they set one
     * @param port its TCP port
     */
    public WebClient keepAliveClient(String address, int port) {
        return client(address, port, mKept);
    }

    /**
     * Returns a client of either kind.
     *
     * @param address IP number of the backend server; calls have no timeout unless they set one
     * @param port its TCP port
     * @param kept whether it keeps connections
     */
    public WebClient client(String address, int port, boolean kept) {
        return kept ? keepAliveClient(address, port) : client(address, port);
    }

    @Override
    public void close() {
        mSingleUse.close();
        mKept.close();
    }

    private static WebClient client(String address, int port, ClientFactory factory) {
        return WebClient.builder(SessionProtocol.H1C, Endpoint.of(address, port))
                .factory(factory)
                .responseTimeoutMillis(0)
                .maxResponseLength(MAX_RESPONSE_BYTES)
                .build();
    }
}
