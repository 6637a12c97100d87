package org.cyclamenpaddle.peer.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.function.Supplier;
import org.cyclamenpaddle.core.message.HostRecord;

/**
 * Opens outgoing connections to other hosts.
 *
 * <p>An attempt has no timeout of its own: the one of the library ends connections that were opened
 * during a delay of the event loop. Whoever dials closes the channel when no {@code Hello} arrives.
 */
final class Dialer {

    private final FrameTransport mTransport;
    private final Supplier<HostRecord> mSelf;

    Dialer(FrameTransport transport, Supplier<HostRecord> self) {
        mTransport = transport;
        mSelf = self;
    }

    ChannelFuture dial(HostRecord target, EventLoop loop, OutgoingConnection.Events events) {
        return dial(target.address(), target.peerPort(), loop, events);
    }

    ChannelFuture dial(String address, int port, EventLoop loop, OutgoingConnection.Events events) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline()
                                        .addLast(
                                                mTransport.newDecoder(),
                                                new OutgoingConnection(mTransport, mSelf, events));
                            }
                        })
                .connect(address, port);
    }
}
