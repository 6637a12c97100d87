package org.cyclamenpaddle.peer.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.nio.ByteBuffer;
import org.cyclamenpaddle.peer.codec.Frame;
import org.cyclamenpaddle.peer.codec.FrameCodec;

/** Writes frames to connections and makes the decoders of what comes in. */
final class Wire {

    private final FrameCodec mCodec = new FrameCodec();
    private final PeerCounters mCounters;

    Wire(PeerCounters counters) {
        mCounters = counters;
    }

    FrameCodec codec() {
        return mCodec;
    }

    PeerCounters counters() {
        return mCounters;
    }

    FrameDecoder decoder() {
        return new FrameDecoder(mCodec, mCounters);
    }

    /** Writes encoded bytes with their length prefix, without a flush. */
    void write(Channel channel, byte[] bytes) {
        byte[] length = ByteBuffer.allocate(FrameDecoder.LENGTH_BYTES).putInt(bytes.length).array();
        ByteBuf frame = Unpooled.wrappedBuffer(length, bytes);
        mCounters.frameSent(frame.readableBytes());
        channel.write(frame, channel.voidPromise());
    }

    /** Encodes and writes a frame at once; one that is too long is dropped and counted. */
    void writeNow(Channel channel, Frame frame) {
        mCodec.encode(frame)
                .peek(
                        bytes -> {
                            write(channel, bytes);
                            channel.flush();
                        })
                .peekLeft(tooLong -> mCounters.frameDropped(PeerCounters.DropReason.TOO_LONG));
    }
}
