package org.cyclamenpaddle.core.message;

/**
 * Asks whether the platform's store has answered the host while the sender got no answer.
 *
 * @param fromMillis begin of that time, in milliseconds before now
 * @param toMillis end of that time, in milliseconds before now
 */
public record StoreAnswerRequest(long fromMillis, long toMillis) implements PeerMessage {

    public StoreAnswerRequest {
        if (toMillis < 0 || fromMillis < toMillis) {
            throw new IllegalArgumentException(
                    "time from " + fromMillis + " to " + toMillis + " ms ago");
        }
    }
}
