package org.cyclamenpaddle.peer.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.function.Supplier;
import org.cyclamenpaddle.core.message.Hello;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.peer.codec.Frame;
import org.jboss.logging.Logger;

/** Opening end of a connection: sends a {@code Hello} first and passes received frames on. */
final class OutgoingConnection extends SimpleChannelInboundHandler<Frame> {

    /** Correlation number of each {@code Hello} sent; those of requests are greater. */
    static final long HELLO_CORRELATION = 1;

    private static final Logger LOG = Logger.getLogger(OutgoingConnection.class);

    private final FrameTransport mTransport;
    private final Supplier<HostRecord> mSelf;
    private final Events mEvents;

    /** Receives the events of one outgoing connection, on its event loop. */
    interface Events {

        void onFrame(ChannelHandlerContext context, Frame frame);

        default void onWritable() {}

        default void onClosed() {}
    }

    OutgoingConnection(FrameTransport transport, Supplier<HostRecord> self, Events events) {
        mTransport = transport;
        mSelf = self;
        mEvents = events;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mTransport.writeNow(
                context.channel(), new Frame(HELLO_CORRELATION, new Hello(mSelf.get())));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        mEvents.onFrame(context, frame);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        mEvents.onWritable();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mEvents.onClosed();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable failure) {
        LOG.debugf(failure, "connection to %s failed", context.channel().remoteAddress());
        context.close();
    }
}
