package org.cyclamenpaddle.standins.http;

import com.linecorp.armeria.common.util.EventLoopGroups;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServerBuilder;
import io.netty.channel.EventLoopGroup;
import io.vavr.control.Try;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cyclamenpaddle.core.invariant.Invariants;

/**
 * Loopback HTTP server that can be stopped abruptly and started again on the same port.
 *
 * <p>All servers of a process share one small group of event loops.
 */
public final class StandinServer {

    private static final String LOOPBACK = "127.0.0.1";
    private static final int EVENT_LOOPS = 4;
    private static final int RESTART_TRIES = 100;
    private static final long RESTART_PAUSE_MILLIS = 20;
    private static final long MAX_REQUEST_BYTES = 8L << 20;
    private static final EventLoopGroup WORKERS =
            EventLoopGroups.newEventLoopGroup(EVENT_LOOPS, "standin", true);

    private final Consumer<ServerBuilder> mRoutes;
    private final OpenConnections mConnections = new OpenConnections();
    private Server mServer;
    private int mPort;

    /**
     * Creates a server that does not listen yet.
     *
     * @param routes adds the services, once for each start
     */
    public StandinServer(Consumer<ServerBuilder> routes) {
        mRoutes = routes;
    }

    /**
     * Starts listening on loopback.
     *
     * @param port TCP port; 0 for any
     */
    public synchronized void start(int port) {
        ServerBuilder builder =
                Server.builder()
                        .http(new InetSocketAddress(LOOPBACK, port))
                        .workerGroup(WORKERS, false)
                        .requestTimeoutMillis(0)
                        .idleTimeoutMillis(0)
                        .maxRequestLength(MAX_REQUEST_BYTES)
                        .childChannelPipelineCustomizer(p -> mConnections.add(p.channel()))
                        .gracefulShutdownTimeoutMillis(0, 0);
        mRoutes.accept(builder);
        Server server = builder.build();
        server.start().join();
        mServer = server;
        mPort = server.activeLocalPort();
    }

    /** Returns the port of the last start. */
    public synchronized int port() {
        return mPort;
    }

    /** Stops listening and drops all connections at once; does nothing if stopped. */
    public synchronized void stop() {
        if (mServer != null) {
            // The server's own stop goes on for seconds after its port is free; it isn't awaited,
            // so that a crash looks as abrupt as that of a process.
            mServer.stop();
            mServer = null;
            mConnections.dropAll();
        }
    }

    /** Starts listening again on the port of the last start. */
    public synchronized void restart() {
        // The stop is not awaited, so the port may still be taken for a moment.
        for (int tries = 1; mServer == null; tries++) {
            Try<Void> started = Try.run(() -> start(mPort));
            if (started.isFailure()) {
                mServer = null;
                Invariants.require(
                        tries < RESTART_TRIES, () -> "no restart: " + started.getCause());
                Try.run(() -> TimeUnit.MILLISECONDS.sleep(RESTART_PAUSE_MILLIS));
            }
        }
    }
}
