package org.cyclamenpaddle.peer.net;

/** Why a request got no response. */
public enum PeerError {
    /** No connection to the host; the request was not sent. */
    UNREACHABLE,
    /** The connection was lost after the request was written; it may have been received. */
    CONNECTION_LOST,
    /** No response came in time; the request may have been received. */
    TIMED_OUT,
    /** The outgoing queue was full; the request was not sent. */
    QUEUE_FULL,
    /** The message exceeds the maximum frame length. */
    TOO_LONG,
    /** This network has been closed. */
    CLOSED
}
