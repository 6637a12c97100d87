package org.cyclamenpaddle.peer.codec;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.Optional;
import org.cyclamenpaddle.core.message.PeerMessage;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageInsufficientBufferException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes frames, without their length prefix.
 *
 * <p>Decoding is strict and accepts any input: malformed bytes give an error value, never an
 * exception, and allocate no more than a few times their length. Thread-safe.
 */
public final class FrameCodec {

    /** Maximum length of a frame, in bytes, without the length prefix. */
    public static final int MAX_FRAME_BYTES = 1 << 20;

    /** Protocol version of this build. */
    public static final byte VERSION = 1;

    /**
     * Encodes a frame, or returns {@link FrameError#TOO_LONG}.
     *
     * <p>A configuration response that exceeds a frame is truncated to its first objects; the
     * receiver gets the others with its next request.
     *
     * @param frame the frame
     */
    public Either<FrameError, byte[]> encode(Frame frame) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            PeerMessage message = ConfigurationTruncation.truncateToFit(frame.message());
            MessageType type = MessageType.of(message);
            packer.addPayload(new byte[] {VERSION});
            packer.packInt(type.code());
            packer.packLong(frame.correlation());
            type.write(new FieldWriter(packer), message);
            byte[] bytes = packer.toByteArray();
            return bytes.length <= MAX_FRAME_BYTES
                    ? Either.right(bytes)
                    : Either.left(FrameError.TOO_LONG);
        } catch (IOException impossible) {
            throw new IllegalStateException("packing into memory failed", impossible);
        }
    }

    /**
     * Decodes a frame, or returns why the bytes are malformed.
     *
     * @param bytes one frame without its length prefix
     */
    public Either<FrameError, Frame> decode(byte[] bytes) {
        if (bytes.length > MAX_FRAME_BYTES) {
            return Either.left(FrameError.TOO_LONG);
        }
        if (bytes.length == 0) {
            return Either.left(FrameError.CUT_OFF);
        }
        if (bytes[0] != VERSION) {
            return Either.left(FrameError.WRONG_VERSION);
        }
        try (MessageUnpacker unpacker =
                MessagePack.newDefaultUnpacker(bytes, 1, bytes.length - 1)) {
            return read(unpacker);
        } catch (MessageInsufficientBufferException truncated) {
            return Either.left(FrameError.CUT_OFF);
        } catch (MessagePackException | IllegalArgumentException | IOException malformed) {
            return Either.left(FrameError.BAD_FIELDS);
        }
    }

    private static Either<FrameError, Frame> read(MessageUnpacker unpacker) throws IOException {
        Optional<MessageType> type = MessageType.of(unpacker.unpackInt());
        if (type.isEmpty()) {
            return Either.left(FrameError.UNKNOWN_TYPE);
        }
        long correlation = unpacker.unpackLong();
        PeerMessage message = type.get().read(new FieldReader(unpacker));
        return unpacker.hasNext()
                ? Either.left(FrameError.BAD_FIELDS)
                : Either.right(new Frame(correlation, message));
    }
}
