package org.cyclamenpaddle.engine.http;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.ClientFactoryOptions;
import com.linecorp.armeria.client.Endpoint;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.SessionProtocol;
import io.netty.channel.ChannelPipeline;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.http.CleartextClients;
import org.cyclamenpaddle.http.ForeignBytes;
import org.cyclamenpaddle.http.ResponseCheck;

/**
 * Creates HTTP clients of backend servers, with single-use or keep-alive connections.
 *
 * <p>Calls open a new connection each. An open connection can go silent while new ones work, and a
 * server may close a keep-alive connection while a call is written to it, which leaves unknown
 * whether the call ran. A single-use connection has neither fault: a failed connection attempt
 * proves that nothing was sent, and a retry always uses a new connection. It costs one round trip,
 * at most about 3 ms between failure domains.
 *
 * <p>Reports are read so often that new connections would cost more CPU time than the reads
 * themselves. They are read over keep-alive connections, and retried over a new one if that fails.
 * The same applies to calls that may be retried, and to a call that follows a response over the
 * same connection within a second: where new connections are costly, such calls are two thirds of
 * all.
 *
 * <p>All connections use HTTP/1.1: an upgrade to HTTP/2 would add a round trip before a call, and a
 * keep-alive connection on which a response times out is closed by the library instead of being
 * reused.
 */
public final class BackendConnections implements AutoCloseable {

    private static final long CONNECT_TIMEOUT_MILLIS = 300;

    /** Hosts are asked one after the other while a caller waits. */
    private static final long HOST_CONNECT_TIMEOUT_MILLIS = 150;

    private static final long KEEP_ALIVE_IDLE_MILLIS = 10_000;
    private static final long MAX_RESPONSE_BYTES = 16L << 20;

    /** Number of clients above which they are all created anew; backend servers change address. */
    private static final int MAX_CLIENTS = 4_096;

    private record Target(String address, int port, boolean keepAlive) {}

    private final ClientFactory mSingleUse =
            CleartextClients.factory()
                    .connectTimeoutMillis(CONNECT_TIMEOUT_MILLIS)
                    .maxNumRequestsPerConnection(1)
                    .option(ClientFactoryOptions.CHANNEL_PIPELINE_CUSTOMIZER, this::prepare)
                    .build();

    private final ClientFactory mKeepAlive =
            CleartextClients.factory()
                    .connectTimeoutMillis(CONNECT_TIMEOUT_MILLIS)
                    .idleTimeoutMillis(KEEP_ALIVE_IDLE_MILLIS)
                    .option(ClientFactoryOptions.CHANNEL_PIPELINE_CUSTOMIZER, this::prepare)
                    .build();

    /** Created when a request is handed over first, since it costs processor time. */
    private ClientFactory mHosts;

    private volatile ForeignBytes.Listener mForeignBytes = bytes -> {};

    // Building a client costs more processor time than sending a call with it.
    private final Map<Target, WebClient> mClients = new ConcurrentHashMap<>();

    /** Sets what is notified of bytes that are not the response to the request on a connection. */
    public void onForeignBytes(ForeignBytes.Listener listener) {
        mForeignBytes = listener;
    }

    /**
     * Returns a client that opens a new connection for each call.
     *
     * @param backend the backend server; calls have no timeout unless they set one
     */
    public WebClient client(BackendSpec backend) {
        return client(backend.address(), backend.port());
    }

    /**
     * Returns a client that opens a new connection for each call.
     *
     * @param address IP address of the backend server; calls have no timeout unless they set one
     * @param port its TCP port
     */
    public WebClient client(String address, int port) {
        return client(address, port, false);
    }

    /**
     * Returns a client with keep-alive connections, for reads that may be retried.
     *
     * @param backend the backend server; reads have no timeout unless they set one
     */
    public WebClient keepAliveClient(BackendSpec backend) {
        return keepAliveClient(backend.address(), backend.port());
    }

    /**
     * Returns a client with keep-alive connections, for calls that may be retried.
     *
     * @param address IP address of the backend server; calls have no timeout unless they set one
     * @param port its TCP port
     */
    public WebClient keepAliveClient(String address, int port) {
        return client(address, port, true);
    }

    /**
     * Returns a client with keep-alive or single-use connections.
     *
     * @param address IP address of the backend server; calls have no timeout unless they set one
     * @param port its TCP port
     * @param keepAlive whether it uses keep-alive connections
     */
    public WebClient client(String address, int port, boolean keepAlive) {
        if (mClients.size() > MAX_CLIENTS) {
            mClients.clear();
        }
        return mClients.computeIfAbsent(
                new Target(address, port, keepAlive),
                target -> build(target, keepAlive ? mKeepAlive : mSingleUse));
    }

    /**
     * Returns a client that opens a new connection to another host for each call.
     *
     * @param address IP address of the host; calls have no timeout unless they set one
     * @param port its TCP port
     */
    public WebClient hostClient(String address, int port) {
        return build(new Target(address, port, false), hosts());
    }

    private synchronized ClientFactory hosts() {
        if (mHosts == null) {
            mHosts =
                    CleartextClients.factory()
                            .connectTimeoutMillis(HOST_CONNECT_TIMEOUT_MILLIS)
                            .maxNumRequestsPerConnection(1)
                            .option(ClientFactoryOptions.CHANNEL_PIPELINE_CUSTOMIZER, this::prepare)
                            .build();
        }
        return mHosts;
    }

    @Override
    public synchronized void close() {
        if (mHosts != null) {
            mHosts.close();
        }
        mSingleUse.close();
        mKeepAlive.close();
    }

    private void prepare(ChannelPipeline pipeline) {
        ResponseCheck.install(pipeline, bytes -> mForeignBytes.found(bytes));
        CleartextClients.prepare(pipeline);
    }

    private static WebClient build(Target target, ClientFactory factory) {
        return WebClient.builder(SessionProtocol.H1C, Endpoint.of(target.address(), target.port()))
                .factory(factory)
                .responseTimeoutMillis(0)
                .maxResponseLength(MAX_RESPONSE_BYTES)
                .build();
    }
}
