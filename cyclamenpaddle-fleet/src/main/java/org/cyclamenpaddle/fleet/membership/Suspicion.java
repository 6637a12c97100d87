package org.cyclamenpaddle.fleet.membership;

import java.util.Optional;

/** State of one confirmation round of a suspected host. */
final class Suspicion {

    private final long mDeadlineMillis;
    private final boolean mDetectedLocally;
    private Optional<Boolean> mDirectResult = Optional.empty();
    private int mPendingResults;
    private boolean mReachedByProxy;

    /**
     * Starts a round.
     *
     * @param deadlineMillis end of the wait for indirect probes, as a reading of this host's clock
     * @param proxies number of hosts that were requested to probe
     * @param detectedLocally whether this host itself detected the silence, and so must notify
     *     others
     */
    Suspicion(long deadlineMillis, int proxies, boolean detectedLocally) {
        mDeadlineMillis = deadlineMillis;
        mPendingResults = proxies;
        mDetectedLocally = detectedLocally;
    }

    void onDirectProbeResult(boolean reachable) {
        mDirectResult = Optional.of(reachable);
    }

    void onIndirectProbeResult(boolean reachable) {
        mPendingResults--;
        mReachedByProxy |= reachable;
    }

    boolean detectedLocally() {
        return mDetectedLocally;
    }

    boolean reachedByProxy() {
        return mReachedByProxy;
    }

    /** Returns whether the direct probe failed and no further result needs to be awaited. */
    boolean concluded(long nowMillis) {
        boolean unreachable = mDirectResult.isPresent() && !mDirectResult.get();
        return unreachable
                && (mReachedByProxy || mPendingResults <= 0 || nowMillis >= mDeadlineMillis);
    }

    /** Returns whether the result of the direct probe is overdue and the probe must be retried. */
    boolean overdue(long nowMillis, long graceMillis) {
        return mDirectResult.isEmpty() && nowMillis >= mDeadlineMillis + graceMillis;
    }
}
