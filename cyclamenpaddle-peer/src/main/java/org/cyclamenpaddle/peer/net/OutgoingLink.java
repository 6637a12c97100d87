package org.cyclamenpaddle.peer.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import java.util.Optional;
import java.util.function.Supplier;
import org.cyclamenpaddle.core.message.Hello;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.PeerMessage;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.peer.codec.Frame;
import org.cyclamenpaddle.peer.codec.FrameError;

/**
 * State of one outgoing connection, from the start of the connection attempt; confined to its event
 * loop.
 */
final class OutgoingLink implements OutgoingConnection.Events {

    private final Listener mListener;
    private final HostRecord mTarget;
    private final FrameTransport mTransport;
    private final Supplier<HostRecord> mSelf;
    private final Clock mClock;
    private Optional<Channel> mChannel = Optional.empty();
    private boolean mReady;
    private boolean mEstablished;
    private boolean mClosedLocally;
    private boolean mLivenessCheckSent;
    private long mLastReceivedMillis;
    private long mLastSentMillis;

    /** Receives the events of the connection. */
    interface Listener {

        /** Called when the {@code Hello} of the other end was received; frames may be written. */
        void onReady(OutgoingLink link);

        /** Called at the first frame after the {@code Hello}. */
        void onEstablished();

        void onResponse(long correlation, PeerMessage response);

        void onWritable();

        /**
         * Called when the connection has closed; {@code failed} if a new one must wait for the
         * backoff.
         */
        void onConnectionClosed(OutgoingLink link, boolean failed);
    }

    OutgoingLink(
            Listener listener,
            HostRecord target,
            FrameTransport transport,
            Supplier<HostRecord> self,
            Clock clock) {
        mListener = listener;
        mTarget = target;
        mTransport = transport;
        mSelf = self;
        mClock = clock;
        mLastReceivedMillis = clock.millis();
        mLastSentMillis = mLastReceivedMillis;
    }

    @Override
    public void onFrame(ChannelHandlerContext context, Frame frame) {
        mLastReceivedMillis = mClock.millis();
        mLivenessCheckSent = false;
        if (mReady && !mEstablished) {
            mEstablished = true;
            mListener.onEstablished();
        }
        if (frame.message() instanceof Hello hello) {
            onHello(context, hello);
        } else if (frame.correlation() != Frame.ONE_WAY) {
            mListener.onResponse(frame.correlation(), frame.message());
        }
    }

    @Override
    public void onWritable() {
        mListener.onWritable();
    }

    // A host that repeatedly accepts a connection, sends its Hello and closes would otherwise be
    // dialed in a tight loop while frames are queued. Only a connection that received more than the
    // Hello, or that was closed locally, is replaced without backoff.
    @Override
    public void onClosed() {
        mListener.onConnectionClosed(this, !mEstablished && !mClosedLocally);
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

    boolean connectsTo(HostRecord target) {
        return mTarget.address().equals(target.address())
                && mTarget.peerPort() == target.peerPort();
    }

    void write(byte[] bytes) {
        mLastSentMillis = mClock.millis();
        mTransport.write(channel(), bytes);
    }

    boolean idleFor(long millis) {
        return mClock.millis() - mLastSentMillis >= millis;
    }

    boolean silentSince(long millis) {
        return mLastReceivedMillis <= millis;
    }

    /** Closes a connection that is no longer needed. */
    void close() {
        mClosedLocally = true;
        closeAsFailed();
    }

    /** Closes a connection that failed. */
    void closeAsFailed() {
        mChannel.ifPresent(Channel::close);
        onClosed();
    }

    void replaceSilent() {
        mTransport.counters().silentConnectionReplaced();
        close();
    }

    /**
     * Sends a {@code Hello} as liveness check if nothing was received since the last write for
     * {@code silentMillis}; replaces the connection if the check got no response.
     *
     * <p>One-way messages take no response, so a silent connection would lose every heartbeat
     * without notice, and the other end would consider this host dead. An unanswered {@code Hello}
     * reveals it, and a new connection works.
     */
    void checkLiveness(long silentMillis) {
        if (mLastSentMillis < mLastReceivedMillis
                || mClock.millis() - mLastReceivedMillis < silentMillis) {
            return;
        }
        if (mLivenessCheckSent) {
            replaceSilent();
            return;
        }
        mLivenessCheckSent = true;
        Hello hello = new Hello(mSelf.get());
        mTransport.writeNow(channel(), new Frame(OutgoingConnection.HELLO_CORRELATION, hello));
    }

    private void onHello(ChannelHandlerContext context, Hello hello) {
        // If a host was replaced and its address reassigned, another host would receive messages
        // that are not meant for it. So nothing is written before the Hello has been checked.
        if (!hello.sender().incarnation().host().equals(mTarget.incarnation().host())) {
            mTransport.counters().frameRejected(FrameError.BAD_HELLO);
            context.close();
        } else if (!mReady) {
            mReady = true;
            mListener.onReady(this);
        }
    }
}
