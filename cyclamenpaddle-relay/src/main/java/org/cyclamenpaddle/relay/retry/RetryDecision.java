package org.cyclamenpaddle.relay.retry;

/** Action that follows a completed send. */
public enum RetryDecision {
    /** End the request with the reply that {@link RetryPolicy#reply} returns. */
    SEND_AGAIN,
    /** Forward the backend server's own response to the caller. */
    PASS_ON,
    /** End the request with {@link RetryPolicy#reply}. */
    END
}
