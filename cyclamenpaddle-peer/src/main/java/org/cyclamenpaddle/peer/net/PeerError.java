package org.cyclamenpaddle.peer.net;

/** Why an ask got no answer. */
public enum PeerError {
    /** No connection to the host; the ask never left. */
    UNREACHABLE,
    /** The connection broke after the ask was written; it may have been heard. */
    CONNECTION_LOST,
    /** No answer came in time; the ask may have been heard. */
    TIMED_OUT,
    /** The outgoing queue was full; the ask never left. */
    QUEUE_FULL,
    /** The message does not fit into a frame. */
    TOO_LONG,
    /** This network was closed. */
    CLOSED
}
