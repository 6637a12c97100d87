package org.cyclamenpaddle.engine.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.linecorp.armeria.client.ClientRequestContextCaptor;
import com.linecorp.armeria.client.Clients;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests when an attempt to connect to a backend server ends. */
public class BackendConnectionsTest {

    /** Time for which an event loop does other work; longer than any timeout of a connection. */
    private static final long BUSY_MILLIS = 700;

    private static final long CONNECT_TIMEOUT_MILLIS = 300;

    /** Kind of client. */
    private enum Kind {
        SINGLE_USE {
            @Override
            WebClient client(BackendConnections connections, int port) {
                return connections.client("127.0.0.1", port);
            }
        },
        KEEP_ALIVE {
            @Override
            WebClient client(BackendConnections connections, int port) {
                return connections.keepAliveClient("127.0.0.1", port);
            }
        },
        HOST {
            @Override
            WebClient client(BackendConnections connections, int port) {
                return connections.hostClient("127.0.0.1", port);
            }
        };

        abstract WebClient client(BackendConnections connections, int port);
    }

    @DataProvider
    public Object[][] kinds() {
        return new Object[][] {{Kind.SINGLE_USE}, {Kind.KEEP_ALIVE}, {Kind.HOST}};
    }

    /** Returns the event loop that a client uses for its calls. */
    private static EventLoop loop(WebClient client) {
        try (ClientRequestContextCaptor captor = Clients.newContextCaptor()) {
            client.get("/").aggregate().join();
            return captor.get().eventLoop().withoutContext();
        }
    }

    /** A server that has accepted a connection counts as unreachable after a busy event loop. */
    @Test(dataProvider = "kinds")
    public void connectionThatIsOpenedWhileTheLoopIsBusyIsUsed(Kind kind) throws Exception {
        try (RawServer server = new RawServer(BackendConnectionsTest::respond);
                BackendConnections connections = new BackendConnections()) {
            WebClient client = kind.client(connections, server.spec().port());
            assertEquals(callAndWork(client, BUSY_MILLIS).get().status().code(), 200);
        }
    }

    /** An attempt to connect to a server that is unreachable never ends. */
    @Test(dataProvider = "kinds")
    public void connectionToAnUnreachableServerTimesOut(Kind kind) throws Exception {
        List<Socket> queued = new ArrayList<>();
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                BackendConnections connections = new BackendConnections()) {
            fill(full, queued);
            WebClient client = kind.client(connections, full.getLocalPort());
            long nanos = System.nanoTime();
            try (ClientRequestContextCaptor captor = Clients.newContextCaptor()) {
                CompletableFuture<AggregatedHttpResponse> response = client.get("/").aggregate();
                Throwable failure =
                        response.handle((ignored, cause) -> cause).get(10, TimeUnit.SECONDS);
                assertEquals(
                        CallFailure.of(captor.get(), failure),
                        CallFailure.NOT_CONNECTED,
                        "" + failure);
            }
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
            // Before the first repetition of the packet that opens a connection, after a second.
            assertTrue(millis < 1_000, "ended after " + millis + " ms");
            if (kind != Kind.HOST) {
                assertTrue(millis >= CONNECT_TIMEOUT_MILLIS, "ended after " + millis + " ms");
            }
        } finally {
            for (Socket socket : queued) {
                socket.close();
            }
        }
    }

    /** Calls a server while an event loop handles input, which then takes some time longer. */
    private static CompletableFuture<AggregatedHttpResponse> callAndWork(
            WebClient client, long millis) throws Exception {
        CompletableFuture<AggregatedHttpResponse> response = new CompletableFuture<>();
        whileHandlingInput(
                loop(client),
                () -> {
                    client.get("/")
                            .aggregate()
                            .whenComplete(
                                    (whole, failure) -> {
                                        if (failure == null) {
                                            response.complete(whole);
                                        } else {
                                            response.completeExceptionally(failure);
                                        }
                                    });
                    work(millis);
                });
        return response.orTimeout(10, TimeUnit.SECONDS);
    }

    /** Runs an action on the event loop where a relay runs its: when a caller's bytes arrive. */
    private static void whileHandlingInput(EventLoop loop, Runnable action) throws Exception {
        Channel server =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(
                                new ChannelInboundHandlerAdapter() {
                                    @Override
                                    public void channelRead(
                                            ChannelHandlerContext context, Object bytes) {
                                        ReferenceCountUtil.release(bytes);
                                        action.run();
                                        context.channel().parent().close();
                                        context.close();
                                    }
                                })
                        .bind("127.0.0.1", 0)
                        .sync()
                        .channel();
        try (Socket caller = new Socket()) {
            caller.connect(server.localAddress());
            caller.getOutputStream().write(1);
            assertEquals(caller.getInputStream().read(), -1);
        }
    }

    private static void work(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    private static void respond(Socket socket, int number) throws IOException {
        RawServer.readRequest(socket);
        RawServer.write(
                socket, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok");
    }

    /** Fills the queue of a server, which then drops the packets that open connections. */
    private static void fill(ServerSocket server, List<Socket> queued) throws IOException {
        for (int i = 0; i < 8; i++) {
            Socket socket = new Socket();
            queued.add(socket);
            try {
                socket.connect(new InetSocketAddress("127.0.0.1", server.getLocalPort()), 100);
            } catch (IOException queueFull) {
                return;
            }
        }
        throw new IOException("the queue of pending connections does not fill");
    }
}
