package org.cyclamenpaddle.relay.retry;

import java.util.Arrays;

/** Reply to a caller whose request ends without a backend server's response. */
public enum CallerReply {
    /** The request has not run and never will; a later retry by the caller is useful. */
    NOT_RUN(503, true),
    /** The quota of the caller's team is used up; the request has not run and never will. */
    OVER_QUOTA(429, true),
    /** A backend server failed and the request may have run. */
    FAILED(502, false),
    /** No response arrived before the timeout and the request may have run. */
    TIMED_OUT(504, false);

    private final int mStatus;
    private final boolean mHasRetryAfter;

    CallerReply(int status, boolean hasRetryAfter) {
        mStatus = status;
        mHasRetryAfter = hasRetryAfter;
    }

    /** Returns whether a status promises that the request has not run and never will. */
    public static boolean isNotRun(int status) {
        return Arrays.stream(values())
                .anyMatch(reply -> reply.mHasRetryAfter && reply.mStatus == status);
    }

    /** Returns the HTTP status. */
    public int status() {
        return mStatus;
    }

    /** Returns whether the reply contains the retry delay for the caller. */
    public boolean hasRetryAfter() {
        return mHasRetryAfter;
    }
}
