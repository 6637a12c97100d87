package org.cyclamenpaddle.peer.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.message.Heartbeat;
import org.cyclamenpaddle.core.message.Hello;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.PeerMessage;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.peer.codec.Frame;
import org.cyclamenpaddle.peer.codec.FrameError;

/**
 * All that goes to one host: its queue, its one connection and the asks that wait.
 *
 * <p>Any thread queues; all else runs on the one event loop given, and so needs no lock.
 */
final class OutgoingPeer {

    private final HostId mHost;
    private final EventLoop mLoop;
    private final Supplier<HostRecord> mSelf;
    private final Dialer mDialer;
    private final Wire mWire;
    private final PeerSettings mSettings;
    private final Clock mClock;
    private final OutgoingQueue mQueue;
    private final PendingAsks mAsks = new PendingAsks();
    private final AtomicBoolean mDrainPlanned = new AtomicBoolean();
    private final Backoff mBackoff;

    private volatile HostRecord mTarget;
    private Optional<Link> mLink = Optional.empty();
    private boolean mReconnectPlanned;
    private boolean mClosed;

    OutgoingPeer(
            HostRecord target,
            EventLoop loop,
            Supplier<HostRecord> self,
            Dialer dialer,
            Wire wire,
            PeerSettings settings,
            Clock clock) {
        mHost = target.incarnation().host();
        mTarget = target;
        mLoop = loop;
        mSelf = self;
        mDialer = dialer;
        mWire = wire;
        mSettings = settings;
        mClock = clock;
        mQueue = new OutgoingQueue(settings.maxQueuedFrames());
        mBackoff = new Backoff(settings.minBackoffMillis(), settings.maxBackoffMillis());
    }

    void send(HostRecord to, PeerMessage message) {
        mTarget = to;
        enqueue(Frame.ONE_WAY, message);
    }

    CompletableFuture<Either<PeerError, PeerMessage>> ask(
            HostRecord to, long correlation, PeerMessage message, long timeoutMillis) {
        mTarget = to;
        CompletableFuture<Either<PeerError, PeerMessage>> answer = mAsks.add(correlation);
        long askedMillis = mClock.millis();
        enqueue(correlation, message).ifPresent(error -> mAsks.fail(correlation, error));
        onLoop(
                () ->
                        mLoop.schedule(
                                () -> onTimeout(correlation, askedMillis),
                                timeoutMillis,
                                TimeUnit.MILLISECONDS));
        return answer;
    }

    void close() {
        onLoop(
                () -> {
                    mClosed = true;
                    mLink.ifPresent(Link::close);
                    mAsks.closed();
                });
    }

    private Optional<PeerError> enqueue(long correlation, PeerMessage message) {
        Either<FrameError, byte[]> bytes = mWire.codec().encode(new Frame(correlation, message));
        if (bytes.isLeft()) {
            mWire.counters().dropped(PeerCounters.DropReason.TOO_LONG);
            return Optional.of(PeerError.TOO_LONG);
        }
        OutgoingQueue.Entry entry =
                new OutgoingQueue.Entry(
                        correlation, message instanceof Heartbeat, mClock.millis(), bytes.get());
        Optional<OutgoingQueue.Entry> dropped = mQueue.offer(entry);
        dropped.ifPresent(one -> mWire.counters().dropped(PeerCounters.DropReason.QUEUE_FULL));
        planDrain();
        return dropped.filter(entry::equals).map(own -> PeerError.QUEUE_FULL);
    }

    private void planDrain() {
        if (mDrainPlanned.compareAndSet(false, true)) {
            onLoop(
                    () -> {
                        mDrainPlanned.set(false);
                        drain();
                    });
        }
    }

    private void onLoop(Runnable task) {
        try {
            mLoop.execute(task);
        } catch (RejectedExecutionException networkClosed) {
            mAsks.closed();
        }
    }

    private void drain() {
        expire();
        if (mClosed || mQueue.isEmpty()) {
            return;
        }
        mLink.filter(link -> !link.leadsTo(mTarget)).ifPresent(Link::close);
        if (mLink.isEmpty()) {
            connect();
            return;
        }
        Link link = mLink.get();
        if (link.ready()) {
            writeAll(link);
        }
    }

    private void writeAll(Link link) {
        while (link.channel().isWritable()) {
            Optional<OutgoingQueue.Entry> next = mQueue.poll();
            if (next.isEmpty()) {
                break;
            }
            write(link, next.get());
        }
        link.channel().flush();
    }

    private void write(Link link, OutgoingQueue.Entry entry) {
        boolean ask = entry.correlation() != Frame.ONE_WAY;
        if (ask && !mAsks.written(entry.correlation())) {
            return;
        }
        link.sent();
        mWire.write(link.channel(), entry.bytes());
    }

    /**
     * Messages carry durations from now. One that waited long for a connection would promise room,
     * or count strikes, from a moment that is long past at the receiver; so it is dropped.
     */
    private void expire() {
        int expired = mQueue.removeBefore(mClock.millis() - mSettings.maxQueuedMillis());
        for (int i = 0; i < expired; i++) {
            mWire.counters().dropped(PeerCounters.DropReason.EXPIRED);
        }
    }

    private void connect() {
        long waitMillis = mBackoff.waitMillis(mClock.millis());
        if (waitMillis > 0) {
            mAsks.unreachable();
            planReconnect(waitMillis);
            return;
        }
        Link link = new Link(mTarget);
        mLink = Optional.of(link);
        ChannelFuture dialed = mDialer.dial(mTarget, mLoop, link);
        link.dialed(dialed.channel());
        dialed.addListener(
                connected -> {
                    if (!connected.isSuccess()) {
                        lost(link);
                    }
                });
        mLoop.schedule(
                () -> {
                    if (!link.ready()) {
                        link.close();
                    }
                },
                mSettings.connectMillis(),
                TimeUnit.MILLISECONDS);
    }

    private void planReconnect(long waitMillis) {
        if (!mReconnectPlanned) {
            mReconnectPlanned = true;
            mLoop.schedule(
                    () -> {
                        mReconnectPlanned = false;
                        drain();
                    },
                    waitMillis,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void onTimeout(long correlation, long askedMillis) {
        if (!mAsks.fail(correlation, PeerError.TIMED_OUT)) {
            return;
        }
        // Failure: something between the ends lost track of the connection, and every ask on it
        // times out for good. If nothing at all came since the ask, the connection is given up,
        // and the next ask opens a new one, which works; if anything came, only the ask was slow.
        mLink.filter(Link::ready)
                .filter(link -> link.silentSince(askedMillis))
                .ifPresent(Link::replaceSilent);
    }

    private void lost(Link link) {
        if (mLink.filter(link::equals).isEmpty()) {
            return;
        }
        mLink = Optional.empty();
        mAsks.connectionLost();
        if (!link.ready()) {
            mBackoff.failed(mClock.millis());
            mAsks.unreachable();
        }
        drain();
    }

    /** One connection, from the moment it is dialled. */
    private final class Link implements OutgoingConnection.Events {
        private final HostRecord mLedTo;
        private final long mDialedMillis = mClock.millis();
        private Optional<Channel> mChannel = Optional.empty();
        private boolean mReady;
        private boolean mSignAsked;
        private long mHeardMillis = mDialedMillis;
        private long mSentMillis = mDialedMillis;

        Link(HostRecord target) {
            mLedTo = target;
        }

        @Override
        public void onFrame(ChannelHandlerContext context, Frame frame) {
            mHeardMillis = mClock.millis();
            mSignAsked = false;
            if (frame.message() instanceof Hello hello) {
                onHello(context, hello);
            } else if (frame.correlation() != Frame.ONE_WAY) {
                mAsks.answer(frame.correlation(), frame.message());
            }
        }

        @Override
        public void onWritable() {
            drain();
        }

        @Override
        public void onClosed() {
            lost(this);
        }

        void dialed(Channel channel) {
            mChannel = Optional.of(channel);
        }

        boolean ready() {
            return mReady;
        }

        Channel channel() {
            return mChannel.orElseThrow();
        }

        boolean leadsTo(HostRecord target) {
            return mLedTo.address().equals(target.address())
                    && mLedTo.peerPort() == target.peerPort();
        }

        void sent() {
            mSentMillis = mClock.millis();
        }

        boolean silentSince(long millis) {
            return mHeardMillis <= millis;
        }

        void close() {
            mChannel.ifPresent(Channel::close);
            lost(this);
        }

        void replaceSilent() {
            mWire.counters().replacedSilent();
            close();
        }

        private void onHello(ChannelHandlerContext context, Hello hello) {
            // Failure: a host was replaced and its address given to another, which would take
            // messages that are not meant for it. Nothing is written before its Hello is seen.
            if (!hello.sender().incarnation().host().equals(mHost)) {
                mWire.counters().refused(FrameError.BAD_HELLO);
                context.close();
            } else if (!mReady) {
                mReady = true;
                mBackoff.succeeded();
                planCheck();
                drain();
            }
        }

        private void planCheck() {
            mLoop.schedule(this::check, mSettings.silentMillis(), TimeUnit.MILLISECONDS);
        }

        private void check() {
            if (mLink.filter(this::equals).isEmpty()) {
                return;
            }
            long now = mClock.millis();
            if (now - mSentMillis >= mSettings.idleMillis() && mAsks.isEmpty()) {
                close();
                return;
            }
            if (mSentMillis >= mHeardMillis && now - mHeardMillis >= mSettings.silentMillis()) {
                askForSign();
            }
            planCheck();
        }

        /**
         * One-way messages get no answer, so a connection that went silent would swallow each
         * heartbeat for good while this host looks dead to the other. A Hello that gets no Hello
         * back tells, and the next connection works.
         */
        private void askForSign() {
            if (mSignAsked) {
                replaceSilent();
                return;
            }
            mSignAsked = true;
            mWire.writeNow(
                    channel(),
                    new Frame(OutgoingConnection.HELLO_CORRELATION, new Hello(mSelf.get())));
        }
    }
}
