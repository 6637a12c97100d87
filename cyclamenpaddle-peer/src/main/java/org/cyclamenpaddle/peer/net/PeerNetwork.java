package org.cyclamenpaddle.peer.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.vavr.control.Either;
import io.vavr.control.Try;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.message.Hello;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.PeerMessage;
import org.cyclamenpaddle.core.time.Clock;

/**
 * Exchanges messages with other hosts over TCP, with one connection in each direction between two
 * hosts.
 *
 * <p>A few I/O threads serve all connections, since at 410 hosts one thread per connection would
 * exceed the memory that the control plane may use. No method but {@link #start()} and {@link
 * #close()} blocks.
 */
public final class PeerNetwork implements AutoCloseable {

    private static final int IDLE_FACTOR = 2;

    private final Supplier<HostRecord> mSelf;
    private final PeerListener mListener;
    private final PeerSettings mSettings;
    private final Clock mClock;
    private final FrameTransport mTransport;
    private final Dialer mDialer;
    private final EventLoopGroup mEventLoops;
    private final boolean mOwnsEventLoops;
    private final Map<HostId, OutgoingPeer> mPeers = new ConcurrentHashMap<>();
    private final AtomicLong mCorrelation = new AtomicLong(OutgoingConnection.HELLO_CORRELATION);
    private final AtomicInteger mIncomingCount = new AtomicInteger();
    private volatile Optional<Channel> mServer = Optional.empty();
    private volatile boolean mClosed;

    /**
     * Creates a network; no port is bound yet.
     *
     * @param self this host's record, sent in each {@code Hello}
     * @param listener handles received messages
     * @param settings limits and timeouts
     * @param clock measures silence, idle time and delays
     * @param counters counts frames and connections
     */
    public PeerNetwork(
            Supplier<HostRecord> self,
            PeerListener listener,
            PeerSettings settings,
            Clock clock,
            PeerCounters counters) {
        this(
                self,
                listener,
                settings,
                clock,
                counters,
                new MultiThreadIoEventLoopGroup(
                        settings.ioThreads(),
                        new DefaultThreadFactory("peer-io", true),
                        NioIoHandler.newFactory()),
                true);
    }

    /**
     * Creates a network that uses event loops of the process; no port is bound yet.
     *
     * <p>A host that sends a few messages a second then needs no further thread, and a message
     * about a request passes from no thread to another.
     *
     * @param eventLoops event loops, which are not shut down with this network
     */
    public static PeerNetwork onSharedLoops(
            Supplier<HostRecord> self,
            PeerListener listener,
            PeerSettings settings,
            Clock clock,
            PeerCounters counters,
            EventLoopGroup eventLoops) {
        return new PeerNetwork(self, listener, settings, clock, counters, eventLoops, false);
    }

    private PeerNetwork(
            Supplier<HostRecord> self,
            PeerListener listener,
            PeerSettings settings,
            Clock clock,
            PeerCounters counters,
            EventLoopGroup eventLoops,
            boolean ownsEventLoops) {
        mSelf = self;
        mListener = listener;
        mSettings = settings;
        mClock = clock;
        mTransport = new FrameTransport(counters);
        mDialer = new Dialer(mTransport, self);
        mEventLoops = eventLoops;
        mOwnsEventLoops = ownsEventLoops;
    }

    /**
     * Binds this host's peer port.
     *
     * @param address IP address to bind
     * @param port TCP port; 0 for any
     * @return the bound port, or the failure
     */
    public Try<Integer> start(String address, int port) {
        return Try.of(
                () -> {
                    Channel channel =
                            new ServerBootstrap()
                                    .group(mEventLoops)
                                    .channel(NioServerSocketChannel.class)
                                    .option(ChannelOption.SO_REUSEADDR, true)
                                    .childOption(ChannelOption.TCP_NODELAY, true)
                                    .childHandler(new Acceptor())
                                    .bind(address, port)
                                    .sync()
                                    .channel();
                    mServer = Optional.of(channel);
                    return ((InetSocketAddress) channel.localAddress()).getPort();
                });
    }

    /**
     * Sends a message that takes no response; it is dropped if the host can't be reached in time.
     *
     * @param to the host
     * @param message the message
     */
    public void send(HostRecord to, PeerMessage message) {
        if (!mClosed) {
            peer(to).send(to, message);
        }
    }

    /**
     * Sends a request and returns its response.
     *
     * @param to the host
     * @param message the request
     * @param timeoutMillis longest wait, in milliseconds
     * @return completes with the response or the error; never exceptionally
     */
    public CompletableFuture<Either<PeerError, PeerMessage>> request(
            HostRecord to, PeerMessage message, long timeoutMillis) {
        if (mClosed) {
            return CompletableFuture.completedFuture(Either.left(PeerError.CLOSED));
        }
        return peer(to).request(to, mCorrelation.incrementAndGet(), message, timeoutMillis);
    }

    /**
     * Probes whether a host responds on a new connection, independently of the open ones.
     *
     * @param target the host; a response of another incarnation of it counts as none
     * @param timeoutMillis longest wait, in milliseconds
     * @return completes with whether it responded; never exceptionally
     */
    public CompletableFuture<Boolean> probe(HostRecord target, long timeoutMillis) {
        return handshake(target.address(), target.peerPort(), timeoutMillis)
                .thenApply(
                        hello ->
                                hello.map(HostRecord::incarnation)
                                        .filter(target.incarnation()::equals)
                                        .isPresent());
    }

    /**
     * Identifies the host at an address by exchanging a {@code Hello} over a new connection.
     *
     * @param address IP address
     * @param port peer port
     * @param timeoutMillis longest wait, in milliseconds
     * @return completes with the host that responded, or empty; never exceptionally
     */
    public CompletableFuture<Optional<HostRecord>> handshake(
            String address, int port, long timeoutMillis) {
        if (mClosed) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        CompletableFuture<Optional<HostRecord>> responder = new CompletableFuture<>();
        OutgoingConnection.Events events =
                (context, frame) ->
                        responder.complete(
                                frame.message() instanceof Hello hello
                                        ? Optional.of(hello.sender())
                                        : Optional.empty());
        Channel channel = mDialer.dial(address, port, mEventLoops.next(), events).channel();
        responder.completeOnTimeout(Optional.empty(), timeoutMillis, TimeUnit.MILLISECONDS);
        channel.closeFuture().addListener(closed -> responder.complete(Optional.empty()));
        responder.thenRun(channel::close);
        return responder;
    }

    /** Removes a host that will not return: drops its queue and closes its connection. */
    public void removeHost(HostId host) {
        Optional.ofNullable(mPeers.remove(host)).ifPresent(OutgoingPeer::close);
    }

    @Override
    public void close() {
        mClosed = true;
        mServer.ifPresent(server -> server.close().awaitUninterruptibly());
        mPeers.values().forEach(OutgoingPeer::close);
        if (mOwnsEventLoops) {
            mEventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        }
    }

    private OutgoingPeer peer(HostRecord to) {
        return mPeers.computeIfAbsent(
                to.incarnation().host(),
                host ->
                        new OutgoingPeer(
                                to,
                                mEventLoops.next(),
                                mSelf,
                                mDialer,
                                mTransport,
                                mSettings,
                                mClock));
    }

    private final class Acceptor extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            if (mIncomingCount.incrementAndGet() > mSettings.maxIncoming()) {
                mIncomingCount.decrementAndGet();
                channel.close();
                return;
            }
            channel.closeFuture().addListener(closed -> mIncomingCount.decrementAndGet());
            channel.pipeline()
                    .addLast(
                            new IdleStateHandler(
                                    mSettings.idleMillis() * IDLE_FACTOR,
                                    0,
                                    0,
                                    TimeUnit.MILLISECONDS),
                            mTransport.newDecoder(),
                            new IncomingConnection(mTransport, mSelf, mListener));
        }
    }
}
