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
 * Loopback HTTP server that can be stopped abruptly and restarted on the same port.
 *
 * <p>All servers of a process share one event loop group.
 */
public final class StandinServer {

    private static final String LOOPBACK = "127.0.0.1";
    private static final int EVENT_LOOPS = 4;
    private static final long MAX_REQUEST_BYTES = 8L << 20;
    private static final int MAX_RESTART_ATTEMPTS = 500;
    private static final long RESTART_RETRY_DELAY_NANOS = 10_000_000;
    private static final EventLoopGroup WORKERS =
            EventLoopGroups.newEventLoopGroup(EVENT_LOOPS, "standin", true);

    private final Consumer<ServerBuilder> mRoutes;
    private final OpenConnections mConnections = new OpenConnections();
    private Optional<Server> mServer = Optional.empty();
    private int mPort;

    /**
     * Creates a server without starting it.
     *
     * @param routes adds the services; called at each start
     */
    public StandinServer(Consumer<ServerBuilder> routes) {
        mRoutes = routes;
    }

    /**
     * Starts listening on loopback.
     *
     * @param port TCP port; 0 selects a free port
     */
    public synchronized void start(int port) {
        Server server = build(port);
        server.start().join();
        mServer = Optional.of(server);
        mPort = server.activeLocalPort();
    }

    /** Returns the port of the most recent start. */
    public synchronized int port() {
        return mPort;
    }

    /** Stops listening and closes all connections immediately; no-op if stopped. */
    public synchronized void stop() {
        // The server's own shutdown continues for seconds after its port is free. It is not
        // awaited, so that the stop is as abrupt as the crash of a process.
        mServer.ifPresent(Server::stop);
        mServer = Optional.empty();
        mConnections.dropAll();
    }

    /**
     * Starts listening again on the port of the most recent start; no-op if listening.
     *
     * @throws IllegalStateException if the port is not free within some seconds
     */
    public synchronized void restart() {
        for (int i = 0; mServer.isEmpty() && i < MAX_RESTART_ATTEMPTS; i++) {
            Try.run(() -> start(mPort)).onFailure(inUse -> awaitRetryDelay());
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

    /** Waits before a retry, since the port of a stopping server is released with a short delay. */
    private static void awaitRetryDelay() {
        LockSupport.parkNanos(RESTART_RETRY_DELAY_NANOS);
    }
}
