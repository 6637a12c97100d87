package org.cyclamenpaddle.peer.codec;

/** What can be wrong with a frame; its connection is closed. */
public enum FrameError {
    /** The frame is longer than {@link FrameCodec#MAX_FRAME_BYTES}. */
    TOO_LONG,
    /** The connection, or the frame, ended before its last field. */
    CUT_OFF,
    /** The frame is of another protocol version. */
    WRONG_VERSION,
    /** No message has this type number. */
    UNKNOWN_TYPE,
    /** A field is of another type, out of bounds or left over. */
    BAD_FIELDS,
    /**
     * Another message came before the first {@code Hello}, or the {@code Hello} of another host.
     */
    BAD_HELLO
}
