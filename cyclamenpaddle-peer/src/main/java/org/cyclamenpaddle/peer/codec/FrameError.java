package org.cyclamenpaddle.peer.codec;

/** Why a received frame was rejected and its connection closed. */
public enum FrameError {
    /** The frame is longer than {@link FrameCodec#MAX_FRAME_BYTES}. */
    TOO_LONG,
    /** The connection or the frame ended before the last field. */
    CUT_OFF,
    /** The frame has another protocol version. */
    WRONG_VERSION,
    /** No message type has this number. */
    UNKNOWN_TYPE,
    /** A field has another type or is out of bounds, or bytes follow the last field. */
    BAD_FIELDS,
    /**
     * Another message preceded the first {@code Hello}, or the {@code Hello} came from another host
     * than the one expected.
     */
    BAD_HELLO
}
