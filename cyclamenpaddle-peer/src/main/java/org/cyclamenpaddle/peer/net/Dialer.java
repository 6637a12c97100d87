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

/** Opens outgoing connections to other hosts. */
final class Dialer {

    private final FrameTransport mTransport;
    private final Supplier<HostRecord> mSelf;
    private final PeerSettings mSettings;

    Dialer(FrameTransport transport, Supplier<HostRecord> self, PeerSettings settings) {
        mTransport = transport;
        mSelf = self;
        mSettings = settings;
    }

    ChannelFuture dial(HostRecord target, EventLoop loop, OutgoingConnection.Events events) {
        return dial(target.address(), target.peerPort(), loop, events);
    }

    ChannelFuture dial(String address, int port, EventLoop loop, OutgoingConnection.Events events) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(
                        ChannelOption.CONNECT_TIMEOUT_MILLIS,
                        Math.toIntExact(mSettings.connectMillis()))
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
