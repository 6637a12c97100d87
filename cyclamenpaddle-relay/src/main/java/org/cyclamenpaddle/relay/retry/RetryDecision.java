package org.cyclamenpaddle.relay.retry;

/** What follows a send that has ended. */
public enum RetryDecision {
    /** Send to another backend server. */
    SEND_AGAIN,
    /** Give the backend server's own answer to the caller. */
    PASS_ON,
    /** End the request with {@link RetryPolicy#reply}. */
    END
}
