package org.cyclamenpaddle.relay.course;

/** What follows a send that has ended. */
public enum NextStep {
    /** Send to another backend server. */
    SEND_AGAIN,
    /** Give the backend server's own answer to the caller. */
    PASS_ON,
    /** End the request with {@link Course#reply}. */
    END
}
