package org.cyclamenpaddle.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.ConnectTimeoutException;
import java.net.SocketAddress;

/**
 * Channel handler that ends an attempt to connect at its timeout, unless its event loop has been
 * too busy to notice that the connection is open.
 *
 * <p>An event loop runs the timers that are due before it polls its channels again. After a delay
 * that is longer than the timeout, the timer of the library therefore fails connections that the
 * server has accepted long before, and their server counts as unreachable. This handler replaces
 * that timer: when its own one fires, channels are polled once more before the attempt ends.
 */
public final class ConnectTimeout extends ChannelOutboundHandlerAdapter {

    private ConnectTimeout() {}

    /**
     * Replaces the timer of a channel that is about to connect, and keeps its time.
     *
     * @param pipeline pipeline of the channel
     */
    public static void install(ChannelPipeline pipeline) {
        pipeline.addFirst(new ConnectTimeout());
    }

    @Override
    public void connect(
            ChannelHandlerContext context,
            SocketAddress remote,
            SocketAddress local,
            ChannelPromise promise) {
        int millis = context.channel().config().getConnectTimeoutMillis();
        context.channel().config().setConnectTimeoutMillis(0);
        context.connect(remote, local, promise);
        if (millis <= 0 || promise.isDone()) {
            return;
        }
        PolledTimer timer =
                PolledTimer.start(
                        context.executor(), () -> end(context, remote, millis, promise), millis);
        promise.addListener(connected -> timer.cancel());
    }

    private static void end(
            ChannelHandlerContext context,
            SocketAddress remote,
            int millis,
            ChannelPromise promise) {
        boolean ended =
                promise.tryFailure(
                        new ConnectTimeoutException(
                                "connection timed out after " + millis + " ms: " + remote));
        if (ended) {
            context.close();
        }
    }
}
