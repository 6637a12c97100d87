package org.cyclamenpaddle.relay.backend;

/** Outcome of one send to a backend server. */
public enum SendOutcome {
    /** No byte of the request was sent, and none will be. */
    NOT_SENT(false, true),
    /** No byte was sent, because the server asked for no requests after the send had begun. */
    WITHHELD(false, false),
    /** The server responded that it has not run the request and never will. */
    REJECTED(false, false),
    /** The server responded that it is not the intended one and has not run the request. */
    MISDIRECTED(false, false),
    /** The server's own response arrived complete and reports success. */
    SUCCEEDED(true, false),
    /** The server's own response arrived complete and reports failure. */
    FAILED(true, false),
    /**
     * Bytes were sent and no complete response arrived: the request may have run or still be
     * running.
     */
    UNKNOWN(true, true),
    /**
     * The connection carried a response to another request; this one may have run. That shows
     * nothing of the health of the server.
     */
    MISMATCHED(true, false),
    /** Bytes were sent and no response arrived before the timeout; the request may have run. */
    SILENT(true, false),
    /** The caller disconnected first; the outcome is no evidence about the server. */
    ABANDONED(true, false);

    private final boolean mMayHaveRun;
    private final boolean mServerSuspect;

    SendOutcome(boolean mayHaveRun, boolean serverSuspect) {
        mMayHaveRun = mayHaveRun;
        mServerSuspect = serverSuspect;
    }

    /** Returns whether the request may have run. */
    public boolean mayHaveRun() {
        return mMayHaveRun;
    }

    /** Returns whether no byte of the request was sent. */
    public boolean unsent() {
        return this == NOT_SENT || this == WITHHELD;
    }

    /** Returns whether the outcome shows anything about the health of the server. */
    public boolean concernsHealth() {
        return this != ABANDONED && this != WITHHELD && this != MISMATCHED;
    }

    /** Returns whether the connection ended before the response did. */
    public boolean connectionLost() {
        return this == UNKNOWN || this == MISMATCHED;
    }

    /** Returns whether the server has responded. */
    public boolean serverResponded() {
        return this == REJECTED || this == MISDIRECTED || this == SUCCEEDED || this == FAILED;
    }

    /** Returns whether the server may have crashed or be unreachable. */
    public boolean serverSuspect() {
        return mServerSuspect;
    }
}
