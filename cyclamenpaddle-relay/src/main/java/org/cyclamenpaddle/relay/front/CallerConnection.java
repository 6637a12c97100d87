package org.cyclamenpaddle.relay.front;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;

/**
 * Watches the connection of one caller while its request is in flight.
 *
 * <p>Safeguard: the HTTP library reports a disconnected caller through the response stream, but
 * only a second after the connection was closed. In that second the request would go on, reserve
 * engine memory and have its prompt prefilled for a disconnected caller. The close of the channel
 * itself is reported at once.
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
    void onDisconnect(Runnable work) {
        if (!mClosed) {
            mListener = future -> work.run();
            mChannel.closeFuture().addListener(mListener);
        }
    }

    /** Ends the watch; the connection may carry further requests. */
    @Override
    public void close() {
        mClosed = true;
        if (mListener != null) {
            mChannel.closeFuture().removeListener(mListener);
        }
    }
}
