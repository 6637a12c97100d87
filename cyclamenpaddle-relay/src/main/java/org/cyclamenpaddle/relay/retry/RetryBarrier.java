package org.cyclamenpaddle.relay.retry;

/** Reason for which a completed send is not followed by another one. */
public enum RetryBarrier {
    /** Nothing prevents another send, or none is needed. */
    NONE("none"),
    /** The request may have run, and its route does not allow it to run twice. */
    NOT_REPEATABLE("not repeatable"),
    /** The caller disconnected. */
    CALLER_LEFT("caller left"),
    /** The request has been sent to as many servers as its route allows. */
    ATTEMPTS("attempts"),
    /** Too many sends could not leave this host. */
    UNSENT("unsent"),
    /** Too little time is left. */
    TIME("time"),
    /** The shared retry budget is empty, or part of a plain response was forwarded. */
    BUDGET("budget");

    private final String mText;

    RetryBarrier(String text) {
        mText = text;
    }

    /** Returns the reason as logged. */
    public String text() {
        return mText;
    }
}
