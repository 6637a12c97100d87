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
 * Talks to other hosts over TCP: one connection each way between two hosts.
 *
 * <p>A few I/O threads serve all connections, since at 410 hosts a thread for each would cost more
 * memory than control may take. No method but {@link #start()} and {@link #close()} blocks.
 */
public final class PeerNetwork implements AutoCloseable {

    private static final int IDLE_FACTOR = 2;

    private final Supplier<HostRecord> mSelf;
    private final PeerListener mListener;
    private final PeerSettings mSettings;
    private final Clock mClock;
    private final Wire mWire;
    private final Dialer mDialer;
    private final EventLoopGroup mLoops;
    private final Map<HostId, OutgoingPeer> mPeers = new ConcurrentHashMap<>();
    private final AtomicLong mCorrelation = new AtomicLong(OutgoingConnection.HELLO_CORRELATION);
    private final AtomicInteger mIncoming = new AtomicInteger();
    private volatile Optional<Channel> mServer = Optional.empty();
    private volatile boolean mClosed;

    /**
     * Creates it; nothing is bound yet.
     *
     * @param self this host's record, said in each {@code Hello}
     * @param listener takes messages
     * @param settings bounds and times
     * @param clock measures silence and waits
     * @param counters hears what is to be counted
     */
    public PeerNetwork(
            Supplier<HostRecord> self,
            PeerListener listener,
            PeerSettings settings,
            Clock clock,
            PeerCounters counters) {
        mSelf = self;
        mListener = listener;
        mSettings = settings;
        mClock = clock;
        mWire = new Wire(counters);
        mDialer = new Dialer(mWire, self, settings);
        mLoops =
                new MultiThreadIoEventLoopGroup(
                        settings.ioThreads(),
                        new DefaultThreadFactory("peer-io", true),
                        NioIoHandler.newFactory());
    }

    /**
     * Binds this host's peer port.
     *
     * @param address IP number to bind
     * @param port TCP port; 0 for any
     * @return the bound port, or why it could not be bound
     */
    public Try<Integer> start(String address, int port) {
        return Try.of(
                () -> {
                    Channel channel =
                            new ServerBootstrap()
                                    .group(mLoops)
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
     * Sends a message that takes no answer; it is dropped if the host can't be reached in time.
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
     * Sends a message and waits for its answer.
     *
     * @param to the host
     * @param message the ask
     * @param timeoutMillis longest wait, in milliseconds
     * @return completes with the answer or the error; never exceptionally
     */
    public CompletableFuture<Either<PeerError, PeerMessage>> request(
            HostRecord to, PeerMessage message, long timeoutMillis) {
        if (mClosed) {
            return CompletableFuture.completedFuture(Either.left(PeerError.CLOSED));
        }
        return peer(to).ask(to, mCorrelation.incrementAndGet(), message, timeoutMillis);
    }

    /**
     * Tries whether a host answers on a new connection, whatever becomes of the open ones.
     *
     * @param target the host; an answer by another incarnation of it counts as none
     * @param timeoutMillis longest wait, in milliseconds
     * @return completes with whether it answered; never exceptionally
     */
    public CompletableFuture<Boolean> probe(HostRecord target, long timeoutMillis) {
        return handshake(target.address(), target.peerPort(), timeoutMillis)
                .thenApply(
                        sender ->
                                sender.map(HostRecord::incarnation)
                                        .filter(target.incarnation()::equals)
                                        .isPresent());
    }

    /**
     * Asks who answers at an address, by a new connection.
     *
     * @param address IP number
     * @param port peer port
     * @param timeoutMillis longest wait, in milliseconds
     * @return completes with the host that answered, or empty; never exceptionally
     */
    public CompletableFuture<Optional<HostRecord>> handshake(
            String address, int port, long timeoutMillis) {
        if (mClosed) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        CompletableFuture<Optional<HostRecord>> answered = new CompletableFuture<>();
        OutgoingConnection.Events events =
                (context, frame) ->
                        answered.complete(
                                frame.message() instanceof Hello hello
                                        ? Optional.of(hello.sender())
                                        : Optional.empty());
        Channel channel = mDialer.dial(address, port, mLoops.next(), events).channel();
        answered.completeOnTimeout(Optional.empty(), timeoutMillis, TimeUnit.MILLISECONDS);
        channel.closeFuture().addListener(closed -> answered.complete(Optional.empty()));
        answered.thenRun(channel::close);
        return answered;
    }

    /** Forgets a host that is gone for good: drops its queue and connection. */
    public void removeHost(HostId host) {
        Optional.ofNullable(mPeers.remove(host)).ifPresent(OutgoingPeer::close);
    }

    @Override
    public void close() {
        mClosed = true;
        mServer.ifPresent(server -> server.close().awaitUninterruptibly());
        mPeers.values().forEach(OutgoingPeer::close);
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private OutgoingPeer peer(HostRecord to) {
        return mPeers.computeIfAbsent(
                to.incarnation().host(),
                host ->
                        new OutgoingPeer(
                                to, mLoops.next(), mSelf, mDialer, mWire, mSettings, mClock));
    }

    private final class Acceptor extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            if (mIncoming.incrementAndGet() > mSettings.maxIncoming()) {
                mIncoming.decrementAndGet();
                channel.close();
                return;
            }
            channel.closeFuture().addListener(closed -> mIncoming.decrementAndGet());
            channel.pipeline()
                    .addLast(
                            new IdleStateHandler(
                                    mSettings.idleMillis() * IDLE_FACTOR,
                                    0,
                                    0,
                                    TimeUnit.MILLISECONDS),
                            mWire.decoder(),
                            new IncomingConnection(mWire, mSelf, mListener));
        }
    }
}
