package org.cyclamenpaddle.peer.codec;

import org.cyclamenpaddle.core.message.PeerMessage;

/**
 * A peer message with its correlation number.
 *
 * @param correlation {@link #ONE_WAY} for a one-way message; a response carries the number of its
 *     request
 * @param message the message
 */
public record Frame(long correlation, PeerMessage message) {

    /** Correlation number of a message that takes no response. */
    public static final long ONE_WAY = 0;
}
