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

/** Accepting end of a connection: passes messages to the listener and writes the responses. */
final class IncomingConnection extends SimpleChannelInboundHandler<Frame> {

    private static final Logger LOG = Logger.getLogger(IncomingConnection.class);

    private final FrameTransport mTransport;
    private final Supplier<HostRecord> mSelf;
    private final PeerListener mListener;
    private Optional<HostRecord> mSender = Optional.empty();

    IncomingConnection(FrameTransport transport, Supplier<HostRecord> self, PeerListener listener) {
        mTransport = transport;
        mSelf = self;
        mListener = listener;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        if (frame.message() instanceof Hello hello) {
            mSender = Optional.of(hello.sender());
            mTransport.writeNow(
                    context.channel(), new Frame(frame.correlation(), new Hello(mSelf.get())));
        } else if (mSender.isEmpty()) {
            mTransport.counters().frameRejected(FrameError.BAD_HELLO);
            context.close();
        } else {
            dispatch(context, mSender.get(), frame);
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
        LOG.debugf(failure, "connection from %s failed", context.channel().remoteAddress());
        context.close();
        reportBrokenInvariant(failure);
    }

    private void dispatch(ChannelHandlerContext context, HostRecord from, Frame frame) {
        mListener
                .onMessage(from, frame.message())
                .whenComplete(
                        (response, failure) -> {
                            if (failure != null) {
                                LOG.debugf(failure, "no response to %s", frame.message());
                                reportBrokenInvariant(failure);
                            } else if (frame.correlation() != Frame.ONE_WAY) {
                                response.ifPresent(message -> respond(context, frame, message));
                            }
                        });
    }

    private void respond(ChannelHandlerContext context, Frame request, PeerMessage message) {
        // A host that sends requests but never reads would fill the memory of this host with
        // responses. A response that can't be written now is dropped, and the requester times out
        // as if it had been lost.
        if (context.channel().isWritable()) {
            mTransport.writeNow(context.channel(), new Frame(request.correlation(), message));
        } else {
            mTransport.counters().frameDropped(PeerCounters.DropReason.ASKER_STALLED);
        }
    }

    /**
     * Passes a broken invariant to the uncaught exception handler, since it must stop the process.
     */
    private static void reportBrokenInvariant(Throwable failure) {
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
