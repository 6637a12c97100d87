package org.cyclamenpaddle.engine.http;

import com.linecorp.armeria.client.ClientRequestContext;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.util.AttributeKey;

/**
 * Channel handler that records whether a connection was reset instead of closed.
 *
 * <p>A response without a content length ends with its connection, and the HTTP library accepts any
 * end of the connection as the end of the response. A server that crashes within a response resets
 * its connections, and the caller would get a truncated response as a complete one. Only an orderly
 * close completes such a response.
 */
public final class ResetWatch extends ChannelInboundHandlerAdapter {

    private static final AttributeKey<Boolean> BROKEN =
            AttributeKey.valueOf(ResetWatch.class, "BROKEN");

    private ResetWatch() {}

    static void watch(ChannelPipeline pipeline) {
        pipeline.addFirst(new ResetWatch());
    }

    /** Returns whether the connection of a call was reset or failed otherwise. */
    public static boolean broken(ClientRequestContext context) {
        Channel channel = context.log().partial().channel();
        return channel != null && Boolean.TRUE.equals(channel.attr(BROKEN).get());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.channel().attr(BROKEN).set(true);
        context.fireExceptionCaught(cause);
    }
}
