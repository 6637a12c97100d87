package org.cyclamenpaddle.standins.http;

import com.linecorp.armeria.common.util.EventLoopGroups;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServerBuilder;
import io.netty.channel.EventLoopGroup;
import io.vavr.control.Try;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/**
 * Loopback HTTP server that can be stopped abruptly and started again on the same port.
 *
 * <p>All servers of a process share one small group of event loops.
 */
public final class StandinServer {

    private static final String LOOPBACK = "127.0.0.1";
    private static final int EVENT_LOOPS = 4;
    private static final long MAX_REQUEST_BYTES = 8L << 20;
    private static final int RESTART_TRIES = 500;
    private static final long RESTART_PAUSE_NANOS = 10_000_000;
    private static final EventLoopGroup WORKERS =
            EventLoopGroups.newEventLoopGroup(EVENT_LOOPS, "standin", true);

    private final Consumer<ServerBuilder> mRoutes;
    private final OpenConnections mConnections = new OpenConnections();
    private Optional<Server> mServer = Optional.empty();
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
        Server server = build(port);
        server.start().join();
        mServer = Optional.of(server);
        mPort = server.activeLocalPort();
    }

    /** Returns the port of the last start. */
    public synchronized int port() {
        return mPort;
    }

    /** Stops listening and drops all connections at once; does nothing if stopped. */
    public synchronized void stop() {
        // The server's own stop goes on for seconds after its port is free; it isn't awaited, so
        // that a crash looks as abrupt as that of a process.
        mServer.ifPresent(Server::stop);
        mServer = Optional.empty();
        mConnections.dropAll();
    }

    /**
     * Starts listening again on the port of the last start; does nothing if it listens.
     *
     * @throws IllegalStateException if the port is not free within some seconds
     */
    public synchronized void restart() {
        for (int i = 0; mServer.isEmpty() && i < RESTART_TRIES; i++) {
            Try.run(() -> start(mPort)).onFailure(inUse -> pause());
        }
        if (mServer.isEmpty()) {
            throw new IllegalStateException("port " + mPort + " is still in use");
        }
    }

    private Server build(int port) {
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
        return builder.build();
    }

    /** The port of a server that is stopping becomes free a moment after its stop was asked. */
    private static void pause() {
        LockSupport.parkNanos(RESTART_PAUSE_NANOS);
    }
}
