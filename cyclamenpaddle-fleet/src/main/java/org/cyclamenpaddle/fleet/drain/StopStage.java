package org.cyclamenpaddle.fleet.drain;

/** Stages of an entry host's planned stop, in order. */
public enum StopStage {
    /** In full service. */
    RUNNING(true, true, true),
    /** Tells the balancer to send nothing more, and serves what still comes. */
    NOT_READY(false, true, true),
    /** Refuses new work and waits for the requests in flight. */
    DRAINING(false, false, true),
    /** Has left the membership; its ledgers go to other hosts. */
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

    /** Returns whether new requests are taken. */
    public boolean takesWork() {
        return mTakesWork;
    }

    /** Returns whether this host may keep ledgers. */
    public boolean ownsLedgers() {
        return mOwnsLedgers;
    }
}
