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

/** One outgoing connection, from the moment it is dialled; used on its event loop only. */
final class OutgoingLink implements OutgoingConnection.Events {

    private final Owner mOwner;
    private final HostRecord mTarget;
    private final Wire mWire;
    private final Supplier<HostRecord> mSelf;
    private final Clock mClock;
    private Optional<Channel> mChannel = Optional.empty();
    private boolean mReady;
    private boolean mProven;
    private boolean mClosedHere;
    private boolean mSignAsked;
    private long mHeardMillis;
    private long mSentMillis;

    /** Hears what becomes of the connection. */
    interface Owner {

        /** The other end said hello; frames may be written. */
        void onReady(OutgoingLink link);

        /** Something came after the hello. */
        void onProven();

        void onAnswer(long correlation, PeerMessage answer);

        void onWritable();

        /** The connection is gone; {@code failed} if a new one should wait. */
        void onLost(OutgoingLink link, boolean failed);
    }

    OutgoingLink(
            Owner owner, HostRecord target, Wire wire, Supplier<HostRecord> self, Clock clock) {
        mOwner = owner;
        mTarget = target;
        mWire = wire;
        mSelf = self;
        mClock = clock;
        mHeardMillis = clock.millis();
        mSentMillis = mHeardMillis;
    }

    @Override
    public void onFrame(ChannelHandlerContext context, Frame frame) {
        mHeardMillis = mClock.millis();
        mSignAsked = false;
        if (mReady && !mProven) {
            mProven = true;
            mOwner.onProven();
        }
        if (frame.message() instanceof Hello hello) {
            onHello(context, hello);
        } else if (frame.correlation() != Frame.ONE_WAY) {
            mOwner.onAnswer(frame.correlation(), frame.message());
        }
    }

    @Override
    public void onWritable() {
        mOwner.onWritable();
    }

    // Failure: a host accepts and says hello, then closes at once, again and again; without a wait
    // this host would dial it in a tight loop as long as frames are queued. Only a connection on
    // which more than the hello came, or that was closed here, is replaced without a wait.
    @Override
    public void onClosed() {
        mOwner.onLost(this, !mProven && !mClosedHere);
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
        return mTarget.address().equals(target.address())
                && mTarget.peerPort() == target.peerPort();
    }

    void write(byte[] bytes) {
        mSentMillis = mClock.millis();
        mWire.write(channel(), bytes);
    }

    boolean idleFor(long millis) {
        return mClock.millis() - mSentMillis >= millis;
    }

    boolean silentSince(long millis) {
        return mHeardMillis <= millis;
    }

    /** Closes the connection because it is not wanted any more. */
    void close() {
        mClosedHere = true;
        giveUp();
    }

    /** Closes the connection because it failed. */
    void giveUp() {
        mChannel.ifPresent(Channel::close);
        onClosed();
    }

    void replaceSilent() {
        mWire.counters().silentConnectionReplaced();
        close();
    }

    /**
     * Asks for a sign of life if nothing was heard for a while since something was sent.
     *
     * <p>One-way messages get no answer, so a connection that went silent would swallow each
     * heartbeat for good while this host looks dead to the other. A Hello that gets no Hello back
     * tells, and the next connection works.
     */
    void checkSilence(long silentMillis) {
        if (mSentMillis < mHeardMillis || mClock.millis() - mHeardMillis < silentMillis) {
            return;
        }
        if (mSignAsked) {
            replaceSilent();
            return;
        }
        mSignAsked = true;
        Hello hello = new Hello(mSelf.get());
        mWire.writeNow(channel(), new Frame(OutgoingConnection.HELLO_CORRELATION, hello));
    }

    private void onHello(ChannelHandlerContext context, Hello hello) {
        // Failure: a host was replaced and its address given to another, which would take messages
        // that are not meant for it. Nothing is written before its Hello is seen.
        if (!hello.sender().incarnation().host().equals(mTarget.incarnation().host())) {
            mWire.counters().frameRejected(FrameError.BAD_HELLO);
            context.close();
        } else if (!mReady) {
            mReady = true;
            mOwner.onReady(this);
        }
    }
}
