package org.cyclamenpaddle.routing.handover;

/** Why a host has not taken over a request; none of them has run the request. */
public enum HandoverRefusal {
    /** It has lost its paths to the servers of the service as well. */
    CUT_OFF(1_000),
    /** It has as much work for other hosts as it can take beside its own. */
    BUSY(100),
    /** It is stopping, and accepts no such request any more. */
    STOPPING(2_000),
    /** Its configuration, or that of the sender, is outdated. */
    OUTDATED(300),
    /** It does not know the sender as a host. */
    UNKNOWN_HOST(2_000),
    /** There is no connection to it. */
    UNREACHABLE(1_500);

    private final long mPauseMillis;

    HandoverRefusal(long pauseMillis) {
        mPauseMillis = pauseMillis;
    }

    /** Returns the time for which the host is not asked again, in milliseconds. */
    public long pauseMillis() {
        return mPauseMillis;
    }

    /** Returns whether the refusal concerns one service only. */
    boolean concernsService() {
        return this == CUT_OFF;
    }
}
