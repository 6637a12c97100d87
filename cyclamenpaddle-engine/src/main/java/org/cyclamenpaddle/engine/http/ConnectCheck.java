package org.cyclamenpaddle.engine.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.http.ConnectTimeout;

/**
 * Checks whether a process still listens at an address, by a connection that is closed at once.
 *
 * <p>A connection that ends may have been reset on its way. A refused connection is the answer of
 * the machine itself, on which no process listens.
 */
public final class ConnectCheck {

    /** Result of a check. */
    public enum Result {
        /** A process accepted the connection. */
        ACCEPTED,
        /** The machine responded that no process listens. */
        REFUSED,
        /** There was no response in time, or no path to the machine. */
        NO_RESPONSE
    }

    /** Timeout of a check, in milliseconds, unless it sets one. */
    private static final int TIMEOUT_MILLIS = 300;

    private ConnectCheck() {}

    /**
     * Starts a check.
     *
     * @param loop event loop of the connection
     * @param address IP address
     * @param port TCP port
     * @return completes on the event loop, never exceptionally
     */
    public static CompletableFuture<Result> start(EventLoop loop, String address, int port) {
        return start(loop, address, port, TIMEOUT_MILLIS);
    }

    /**
     * Starts a check.
     *
     * @param loop event loop of the connection
     * @param address IP address
     * @param port TCP port
     * @param timeoutMillis time after which there is no response
     * @return completes on the event loop, never exceptionally
     */
    public static CompletableFuture<Result> start(
            EventLoop loop, String address, int port, int timeoutMillis) {
        CompletableFuture<Result> result = new CompletableFuture<>();
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                ConnectTimeout.install(channel.pipeline());
                            }
                        })
                .connect(address, port)
                .addListener(
                        (ChannelFuture connected) -> {
                            connected.channel().close();
                            result.complete(result(connected));
                        });
        return result;
    }

    private static Result result(ChannelFuture connected) {
        if (connected.isSuccess()) {
            return Result.ACCEPTED;
        }
        Throwable cause = connected.cause();
        boolean refused =
                cause instanceof ConnectException
                        && !(cause instanceof ConnectTimeoutException)
                        && !(cause instanceof NoRouteToHostException)
                        && String.valueOf(cause.getMessage()).contains("refused");
        return refused ? Result.REFUSED : Result.NO_RESPONSE;
    }
}
