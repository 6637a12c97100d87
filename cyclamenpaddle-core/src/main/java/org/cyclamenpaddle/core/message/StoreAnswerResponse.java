package org.cyclamenpaddle.core.message;

/**
 * Response to a {@link StoreAnswerRequest}.
 *
 * @param answered whether the store has answered the host in that time, and no call has failed
 *     since
 */
public record StoreAnswerResponse(boolean answered) implements PeerMessage {}
