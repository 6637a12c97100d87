package org.cyclamenpaddle.peer.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.nio.ByteBuffer;
import org.cyclamenpaddle.peer.codec.Frame;
import org.cyclamenpaddle.peer.codec.FrameCodec;

/** Writes frames to connections and creates the decoders of received ones. */
final class FrameTransport {

    private final FrameCodec mCodec = new FrameCodec();
    private final PeerCounters mCounters;

    FrameTransport(PeerCounters counters) {
        mCounters = counters;
    }

    FrameCodec codec() {
        return mCodec;
    }

    PeerCounters counters() {
        return mCounters;
    }

    FrameDecoder newDecoder() {
        return new FrameDecoder(mCodec, mCounters);
    }

    /** Writes encoded bytes with their length prefix, without flushing. */
    void write(Channel channel, byte[] bytes) {
        byte[] length = ByteBuffer.allocate(FrameDecoder.LENGTH_BYTES).putInt(bytes.length).array();
        ByteBuf frame = Unpooled.wrappedBuffer(length, bytes);
        mCounters.frameSent(frame.readableBytes());
        channel.write(frame, channel.voidPromise());
    }

    /** Encodes, writes and flushes a frame; one that is too long is dropped and counted. */
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
