package org.cyclamenpaddle.peer.codec;

import org.cyclamenpaddle.core.message.PeerMessage;

/**
 * One message with its correlation number.
 *
 * @param correlation 0 for a one-way message; an answer carries its ask's
 * @param message the message
 */
public record Frame(long correlation, PeerMessage message) {

    /** Correlation number of a message that gets no answer. */
    public static final long ONE_WAY = 0;
}
