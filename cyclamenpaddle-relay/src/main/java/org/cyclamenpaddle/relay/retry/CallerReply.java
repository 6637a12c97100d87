package org.cyclamenpaddle.relay.retry;

/** What a caller may be told when its request ends without a backend server's answer. */
public enum CallerReply {
    /** It has not run and never will; coming back helps. */
    NOT_RUN(503, true),
    /** A backend server failed and the request may have run. */
    FAILED(502, false),
    /** No answer came in time and the request may have run. */
    TIMED_OUT(504, false);

    private final int mStatus;
    private final boolean mComeBack;

    CallerReply(int status, boolean comeBack) {
        mStatus = status;
        mComeBack = comeBack;
    }

    /** Returns the HTTP status. */
    public int status() {
        return mStatus;
    }

    /** Returns whether the answer tells when to come back. */
    public boolean hasRetryAfter() {
        return mComeBack;
    }
}
