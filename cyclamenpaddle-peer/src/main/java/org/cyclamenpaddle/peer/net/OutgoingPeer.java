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
import org.cyclamenpaddle.http.PolledTimer;
import org.cyclamenpaddle.peer.codec.Frame;
import org.cyclamenpaddle.peer.codec.FrameError;

/**
 * Sends messages to one host: holds its queue, its single connection and its pending requests.
 *
 * <p>Any thread may enqueue; all else is confined to one event loop and needs no lock.
 *
 * <p>What ends for lack of a response ends by a {@link PolledTimer}: after a delay of the event
 * loop, responses that have arrived are read first.
 */
final class OutgoingPeer implements OutgoingLink.Listener {

    private final HostId mHost;
    private final EventLoop mLoop;
    private final Supplier<HostRecord> mSelf;
    private final Dialer mDialer;
    private final FrameTransport mTransport;
    private final PeerSettings mSettings;
    private final Clock mClock;
    private final OutgoingQueue mQueue;
    private final PendingRequests mPendingRequests = new PendingRequests();
    private final AtomicBoolean mDrainScheduled = new AtomicBoolean();
    private final ReconnectBackoff mBackoff;

    private volatile HostRecord mTarget;
    private Optional<OutgoingLink> mLink = Optional.empty();
    private boolean mReconnectScheduled;
    private boolean mClosed;

    OutgoingPeer(
            HostRecord target,
            EventLoop loop,
            Supplier<HostRecord> self,
            Dialer dialer,
            FrameTransport transport,
            PeerSettings settings,
            Clock clock) {
        mHost = target.incarnation().host();
        mTarget = target;
        mLoop = loop;
        mSelf = self;
        mDialer = dialer;
        mTransport = transport;
        mSettings = settings;
        mClock = clock;
        mQueue = new OutgoingQueue(settings.maxQueuedFrames());
        mBackoff = new ReconnectBackoff(settings.minBackoffMillis(), settings.maxBackoffMillis());
    }

    void send(HostRecord to, PeerMessage message) {
        mTarget = to;
        enqueue(Frame.ONE_WAY, message);
    }

    CompletableFuture<Either<PeerError, PeerMessage>> request(
            HostRecord to, long correlation, PeerMessage message, long timeoutMillis) {
        mTarget = to;
        CompletableFuture<Either<PeerError, PeerMessage>> response =
                mPendingRequests.add(correlation);
        enqueue(correlation, message).ifPresent(error -> mPendingRequests.fail(correlation, error));
        executeOnLoop(() -> PolledTimer.start(mLoop, () -> onTimeout(correlation), timeoutMillis));
        return response;
    }

    void close() {
        executeOnLoop(
                () -> {
                    mClosed = true;
                    mLink.ifPresent(OutgoingLink::close);
                    mPendingRequests.failAllAsClosed();
                });
    }

    @Override
    public void onReady(OutgoingLink link) {
        scheduleCheck(link);
        drain();
    }

    @Override
    public void onEstablished() {
        mBackoff.succeeded();
    }

    @Override
    public void onResponse(long correlation, PeerMessage response) {
        mPendingRequests.completeWithResponse(correlation, response);
    }

    @Override
    public void onWritable() {
        drain();
    }

    @Override
    public void onConnectionClosed(OutgoingLink link, boolean failed) {
        if (mLink.filter(link::equals).isEmpty()) {
            return;
        }
        mLink = Optional.empty();
        mPendingRequests.failWritten();
        if (failed) {
            mBackoff.failed(mClock.millis());
        }
        if (!link.ready()) {
            mPendingRequests.failUnwritten();
        }
        drain();
    }

    private Optional<PeerError> enqueue(long correlation, PeerMessage message) {
        Either<FrameError, byte[]> bytes =
                mTransport.codec().encode(new Frame(correlation, message));
        if (bytes.isLeft()) {
            mTransport.counters().frameDropped(PeerCounters.DropReason.TOO_LONG);
            return Optional.of(PeerError.TOO_LONG);
        }
        OutgoingQueue.Entry entry =
                new OutgoingQueue.Entry(
                        correlation, message instanceof Heartbeat, mClock.millis(), bytes.get());
        List<OutgoingQueue.Entry> dropped = mQueue.offer(entry);
        dropped.forEach(
                one -> mTransport.counters().frameDropped(PeerCounters.DropReason.QUEUE_FULL));
        scheduleDrain();
        return dropped.contains(entry) ? Optional.of(PeerError.QUEUE_FULL) : Optional.empty();
    }

    private void scheduleDrain() {
        if (mDrainScheduled.compareAndSet(false, true)) {
            executeOnLoop(
                    () -> {
                        mDrainScheduled.set(false);
                        drain();
                    });
        }
    }

    private void executeOnLoop(Runnable task) {
        try {
            mLoop.execute(task);
        } catch (RejectedExecutionException networkClosed) {
            mPendingRequests.failAllAsClosed();
        }
    }

    private void drain() {
        expire();
        if (mClosed || mQueue.isEmpty()) {
            return;
        }
        mLink.filter(link -> !link.connectsTo(mTarget)).ifPresent(OutgoingLink::close);
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
        boolean request = entry.correlation() != Frame.ONE_WAY;
        if (request && !mPendingRequests.markWritten(entry.correlation(), mClock.millis())) {
            return;
        }
        link.write(entry.bytes());
    }

    /**
     * Drops frames that waited too long for a connection.
     *
     * <p>Messages carry durations relative to when they were encoded. After a long wait, the
     * receiver would apply a reservation or a strike to the wrong time.
     */
    private void expire() {
        int expired = mQueue.removeBefore(mClock.millis() - mSettings.maxQueuedMillis());
        for (int i = 0; i < expired; i++) {
            mTransport.counters().frameDropped(PeerCounters.DropReason.EXPIRED);
        }
    }

    private void connect() {
        long waitMillis = mBackoff.waitMillis(mClock.millis());
        if (waitMillis > 0) {
            mPendingRequests.failUnwritten();
            scheduleReconnect(waitMillis);
            return;
        }
        OutgoingLink link = new OutgoingLink(this, mTarget, mTransport, mSelf, mClock);
        mLink = Optional.of(link);
        ChannelFuture connect = mDialer.dial(mTarget, mLoop, link);
        link.dialed(connect.channel());
        connect.addListener(
                connected -> {
                    if (!connected.isSuccess()) {
                        link.onClosed();
                    }
                });
        PolledTimer.start(
                mLoop,
                () -> {
                    if (!link.ready()) {
                        link.closeAsFailed();
                    }
                },
                mSettings.connectMillis());
    }

    private void scheduleCheck(OutgoingLink link) {
        PolledTimer.start(mLoop, () -> check(link), mSettings.silentMillis());
    }

    private void check(OutgoingLink link) {
        if (mLink.filter(link::equals).isEmpty()) {
            return;
        }
        if (mPendingRequests.isEmpty() && link.idleFor(mSettings.idleMillis())) {
            link.close();
            return;
        }
        link.checkLiveness(mSettings.silentMillis());
        scheduleCheck(link);
    }

    private void scheduleReconnect(long waitMillis) {
        if (!mReconnectScheduled) {
            mReconnectScheduled = true;
            mLoop.schedule(
                    () -> {
                        mReconnectScheduled = false;
                        drain();
                    },
                    waitMillis,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void onTimeout(long correlation) {
        OptionalLong writtenMillis = mPendingRequests.timeOut(correlation);
        // If a middlebox lost the state of the connection, every request on it times out. If
        // nothing was received since the request was written, the connection is replaced, and the
        // next request uses a new one; if anything was received, only this request was slow.
        mLink.filter(OutgoingLink::ready)
                .filter(link -> writtenMillis.isPresent())
                .filter(link -> link.silentSince(writtenMillis.getAsLong()))
                .ifPresent(OutgoingLink::replaceSilent);
    }
}
