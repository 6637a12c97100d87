package org.cyclamenpaddle.peer.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.vavr.control.Either;
import java.util.List;
import org.cyclamenpaddle.peer.codec.Frame;
import org.cyclamenpaddle.peer.codec.FrameCodec;
import org.cyclamenpaddle.peer.codec.FrameError;

/** Cuts incoming bytes into frames; closes the connection at the first that is wrong. */
final class FrameDecoder extends LengthFieldBasedFrameDecoder {

    static final int LENGTH_BYTES = 4;

    private final FrameCodec mCodec;
    private final PeerCounters mCounters;
    private boolean mRefused;

    FrameDecoder(FrameCodec codec, PeerCounters counters) {
        super(FrameCodec.MAX_FRAME_BYTES + LENGTH_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
        mCodec = codec;
        mCounters = counters;
    }

    @Override
    protected Object decode(ChannelHandlerContext context, ByteBuf in) throws Exception {
        if (mRefused) {
            in.skipBytes(in.readableBytes());
            return null;
        }
        // The length is checked before the frame is waited for: else the other end could make this
        // host keep bytes without bound, or wait for ever for a frame that it will refuse.
        if (in.readableBytes() >= LENGTH_BYTES
                && in.getUnsignedInt(in.readerIndex()) > FrameCodec.MAX_FRAME_BYTES) {
            refuse(context, FrameError.TOO_LONG);
            return null;
        }
        ByteBuf bytes = (ByteBuf) super.decode(context, in);
        return bytes == null ? null : frame(context, bytes);
    }

    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf in, List<Object> out)
            throws Exception {
        super.decodeLast(context, in, out);
        if (in.isReadable() && !mRefused) {
            refuse(context, FrameError.CUT_OFF);
        }
    }

    private Frame frame(ChannelHandlerContext context, ByteBuf bytes) {
        try {
            mCounters.frameReceived(bytes.readableBytes() + LENGTH_BYTES);
            Either<FrameError, Frame> frame = mCodec.decode(ByteBufUtil.getBytes(bytes));
            frame.peekLeft(error -> refuse(context, error));
            return frame.getOrNull();
        } finally {
            bytes.release();
        }
    }

    private void refuse(ChannelHandlerContext context, FrameError error) {
        mRefused = true;
        mCounters.frameRejected(error);
        context.close();
    }
}
