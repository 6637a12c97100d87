package org.cyclamenpaddle.relay.front;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;

/**
 * Watches the connection of one caller while its request is in flight.
 *
 * <p>Safeguard: the HTTP library reports a caller that has gone through the answer's stream, but
 * only a second after its connection has closed. For that second the request would go on, take a
 * place at an engine and have its prompt read for nobody; the closing of the connection itself is
 * seen at once.
 */
final class CallerConnection implements AutoCloseable {

    private final Channel mChannel;
    private ChannelFutureListener mListener;
    private boolean mClosed;

    /** Creates a watch on {@code channel}, which must belong to the calling event loop. */
    CallerConnection(Channel channel) {
        mChannel = channel;
    }

    /** Runs {@code work} once when the connection closes, unless this watch was closed before. */
    void whenGone(Runnable work) {
        if (!mClosed) {
            mListener = future -> work.run();
            mChannel.closeFuture().addListener(mListener);
        }
    }

    /** Ends the watch: the connection may carry more requests. */
    @Override
    public void close() {
        mClosed = true;
        if (mListener != null) {
            mChannel.closeFuture().removeListener(mListener);
        }
    }
}
