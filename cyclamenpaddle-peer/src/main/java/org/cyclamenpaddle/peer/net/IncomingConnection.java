package org.cyclamenpaddle.peer.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;
import org.cyclamenpaddle.core.invariant.BrokenInvariantException;
import org.cyclamenpaddle.core.message.Hello;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.PeerMessage;
import org.cyclamenpaddle.peer.codec.Frame;
import org.cyclamenpaddle.peer.codec.FrameError;
import org.jboss.logging.Logger;

/** The accepting end of a connection: hears messages and writes answers. */
final class IncomingConnection extends SimpleChannelInboundHandler<Frame> {

    private static final Logger LOG = Logger.getLogger(IncomingConnection.class);

    private final Wire mWire;
    private final Supplier<HostRecord> mSelf;
    private final PeerListener mListener;
    private Optional<HostRecord> mFrom = Optional.empty();

    IncomingConnection(Wire wire, Supplier<HostRecord> self, PeerListener listener) {
        mWire = wire;
        mSelf = self;
        mListener = listener;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        if (frame.message() instanceof Hello hello) {
            mFrom = Optional.of(hello.sender());
            mWire.writeNow(
                    context.channel(), new Frame(frame.correlation(), new Hello(mSelf.get())));
        } else if (mFrom.isEmpty()) {
            mWire.counters().frameRejected(FrameError.BAD_HELLO);
            context.close();
        } else {
            hear(context, mFrom.get(), frame);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent) {
            context.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable failure) {
        LOG.debugf(failure, "connection from %s broke", context.channel().remoteAddress());
        context.close();
        stopIfBroken(failure);
    }

    private void hear(ChannelHandlerContext context, HostRecord from, Frame frame) {
        mListener
                .onMessage(from, frame.message())
                .whenComplete(
                        (answer, failure) -> {
                            if (failure != null) {
                                LOG.debugf(failure, "no answer to %s", frame.message());
                                stopIfBroken(failure);
                            } else if (frame.correlation() != Frame.ONE_WAY) {
                                answer.ifPresent(message -> answer(context, frame, message));
                            }
                        });
    }

    private void answer(ChannelHandlerContext context, Frame ask, PeerMessage message) {
        // Failure: a host asks and never reads, and its answers fill this host's memory. An answer
        // that can't be written now is dropped; the asker's timeout covers it as a lost one.
        if (context.channel().isWritable()) {
            mWire.writeNow(context.channel(), new Frame(ask.correlation(), message));
        } else {
            mWire.counters().frameDropped(PeerCounters.DropReason.ASKER_STALLED);
        }
    }

    /** A broken invariant must stop the process, so it goes where an uncaught exception goes. */
    private static void stopIfBroken(Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null
                        ? failure.getCause()
                        : failure;
        if (cause instanceof BrokenInvariantException) {
            Thread thread = Thread.currentThread();
            thread.getUncaughtExceptionHandler().uncaughtException(thread, cause);
        }
    }
}
