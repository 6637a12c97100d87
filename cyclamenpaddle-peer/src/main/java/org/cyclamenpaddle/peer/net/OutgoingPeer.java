package org.cyclamenpaddle.peer.net;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.message.Heartbeat;
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
final class OutgoingPeer implements OutgoingLink.Owner {

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
    private Optional<OutgoingLink> mLink = Optional.empty();
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
        enqueue(correlation, message).ifPresent(error -> mAsks.fail(correlation, error));
        onLoop(
                () ->
                        mLoop.schedule(
                                () -> onTimeout(correlation),
                                timeoutMillis,
                                TimeUnit.MILLISECONDS));
        return answer;
    }

    void close() {
        onLoop(
                () -> {
                    mClosed = true;
                    mLink.ifPresent(OutgoingLink::close);
                    mAsks.closed();
                });
    }

    @Override
    public void onReady(OutgoingLink link) {
        planCheck(link);
        drain();
    }

    @Override
    public void onProven() {
        mBackoff.succeeded();
    }

    @Override
    public void onAnswer(long correlation, PeerMessage answer) {
        mAsks.answer(correlation, answer);
    }

    @Override
    public void onWritable() {
        drain();
    }

    @Override
    public void onLost(OutgoingLink link, boolean failed) {
        if (mLink.filter(link::equals).isEmpty()) {
            return;
        }
        mLink = Optional.empty();
        mAsks.connectionLost();
        if (failed) {
            mBackoff.failed(mClock.millis());
        }
        if (!link.ready()) {
            mAsks.unreachable();
        }
        drain();
    }

    private Optional<PeerError> enqueue(long correlation, PeerMessage message) {
        Either<FrameError, byte[]> bytes = mWire.codec().encode(new Frame(correlation, message));
        if (bytes.isLeft()) {
            mWire.counters().frameDropped(PeerCounters.DropReason.TOO_LONG);
            return Optional.of(PeerError.TOO_LONG);
        }
        OutgoingQueue.Entry entry =
                new OutgoingQueue.Entry(
                        correlation, message instanceof Heartbeat, mClock.millis(), bytes.get());
        List<OutgoingQueue.Entry> dropped = mQueue.offer(entry);
        dropped.forEach(one -> mWire.counters().frameDropped(PeerCounters.DropReason.QUEUE_FULL));
        planDrain();
        return dropped.contains(entry) ? Optional.of(PeerError.QUEUE_FULL) : Optional.empty();
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
        mLink.filter(link -> !link.leadsTo(mTarget)).ifPresent(OutgoingLink::close);
        if (mLink.isEmpty()) {
            connect();
            return;
        }
        OutgoingLink link = mLink.get();
        if (link.ready()) {
            writeAll(link);
        }
    }

    private void writeAll(OutgoingLink link) {
        while (link.channel().isWritable()) {
            Optional<OutgoingQueue.Entry> next = mQueue.poll();
            if (next.isEmpty()) {
                break;
            }
            write(link, next.get());
        }
        link.channel().flush();
    }

    private void write(OutgoingLink link, OutgoingQueue.Entry entry) {
        boolean ask = entry.correlation() != Frame.ONE_WAY;
        if (ask && !mAsks.written(entry.correlation(), mClock.millis())) {
            return;
        }
        link.write(entry.bytes());
    }

    /**
     * Messages carry durations from now. One that waited long for a connection would promise room,
     * or count strikes, from a moment that is long past at the receiver; so it is dropped.
     */
    private void expire() {
        int expired = mQueue.removeBefore(mClock.millis() - mSettings.maxQueuedMillis());
        for (int i = 0; i < expired; i++) {
            mWire.counters().frameDropped(PeerCounters.DropReason.EXPIRED);
        }
    }

    private void connect() {
        long waitMillis = mBackoff.waitMillis(mClock.millis());
        if (waitMillis > 0) {
            mAsks.unreachable();
            planReconnect(waitMillis);
            return;
        }
        OutgoingLink link = new OutgoingLink(this, mTarget, mWire, mSelf, mClock);
        mLink = Optional.of(link);
        ChannelFuture dialed = mDialer.dial(mTarget, mLoop, link);
        link.dialed(dialed.channel());
        dialed.addListener(
                connected -> {
                    if (!connected.isSuccess()) {
                        link.onClosed();
                    }
                });
        mLoop.schedule(
                () -> {
                    if (!link.ready()) {
                        link.giveUp();
                    }
                },
                mSettings.connectMillis(),
                TimeUnit.MILLISECONDS);
    }

    private void planCheck(OutgoingLink link) {
        mLoop.schedule(() -> check(link), mSettings.silentMillis(), TimeUnit.MILLISECONDS);
    }

    private void check(OutgoingLink link) {
        if (mLink.filter(link::equals).isEmpty()) {
            return;
        }
        if (mAsks.isEmpty() && link.idleFor(mSettings.idleMillis())) {
            link.close();
            return;
        }
        link.checkSilence(mSettings.silentMillis());
        planCheck(link);
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

    private void onTimeout(long correlation) {
        OptionalLong writtenMillis = mAsks.timeOut(correlation);
        // Failure: something between the ends lost track of the connection, and every ask on it
        // times out for good. If nothing at all came since the ask, the connection is given up,
        // and the next ask opens a new one, which works; if anything came, only the ask was slow.
        mLink.filter(OutgoingLink::ready)
                .filter(link -> writtenMillis.isPresent())
                .filter(link -> link.silentSince(writtenMillis.getAsLong()))
                .ifPresent(OutgoingLink::replaceSilent);
    }
}
