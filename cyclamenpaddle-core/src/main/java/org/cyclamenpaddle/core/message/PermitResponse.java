package org.cyclamenpaddle.core.message;

/**
 * Response of the owner of a limit to a {@link PermitRequest}.
 *
 * @param granted whether all of the calls are permitted, for a short time
 * @param retryMillis time after which another request is likely to be granted, in milliseconds; 0
 *     if the calls are permitted
 */
public record PermitResponse(boolean granted, long retryMillis) implements PeerMessage {

    public PermitResponse {
        if (retryMillis < 0) {
            throw new IllegalArgumentException(
                    "retry time must be 0 or more, but is " + retryMillis);
        }
    }
}
