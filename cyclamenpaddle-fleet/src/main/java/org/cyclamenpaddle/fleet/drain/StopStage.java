package org.cyclamenpaddle.fleet.drain;

/** Stages of an entry host's planned stop, in order. */
public enum StopStage {
    /** Running normally. */
    RUNNING(true, true, true),
    /** Fails the readiness check, but still accepts requests. */
    NOT_READY(false, true, true),
    /** Refuses new requests and waits for those in flight. */
    DRAINING(false, false, true),
    /** Has left the membership; its ledgers are handed over to other hosts. */
    HANDING_OVER(false, false, false),
    /** May exit. */
    STOPPED(false, false, false);

    private final boolean mReady;
    private final boolean mTakesWork;
    private final boolean mOwnsLedgers;

    StopStage(boolean ready, boolean takesWork, boolean ownsLedgers) {
        mReady = ready;
        mTakesWork = takesWork;
        mOwnsLedgers = ownsLedgers;
    }

    /** Returns whether the readiness check passes. */
    public boolean ready() {
        return mReady;
    }

    /** Returns whether new requests are accepted. */
    public boolean takesWork() {
        return mTakesWork;
    }

    /** Returns whether this host may own ledgers. */
    public boolean ownsLedgers() {
        return mOwnsLedgers;
    }
}
