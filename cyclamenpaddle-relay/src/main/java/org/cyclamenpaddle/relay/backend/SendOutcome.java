package org.cyclamenpaddle.relay.backend;

/** What became of one send to a backend server. */
public enum SendOutcome {
    /** No byte of the request has left, and none will. */
    NOT_SENT(false, true),
    /** The server said that it has not run the request and never will. */
    REJECTED(false, false),
    /** The server said that it is not the one that was meant, and so has not run the request. */
    MISDIRECTED(false, false),
    /** The server's own answer arrived whole and says success. */
    SUCCEEDED(true, false),
    /** The server's own answer arrived whole and says failure. */
    FAILED(true, false),
    /** Bytes have left and no whole answer came: the request may have run, or may run still. */
    UNKNOWN(true, true),
    /** Bytes have left and nothing came in the time that there was; it may have run. */
    SILENT(true, false),
    /** The caller went first; says nothing about the server. */
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

    /** Returns whether the server has answered. */
    public boolean serverResponded() {
        return this == REJECTED || this == MISDIRECTED || this == SUCCEEDED || this == FAILED;
    }

    /** Returns whether the server may be down, or its connections cut. */
    public boolean serverSuspect() {
        return mServerSuspect;
    }
}
