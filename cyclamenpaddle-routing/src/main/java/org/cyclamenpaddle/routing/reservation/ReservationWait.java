package org.cyclamenpaddle.routing.reservation;

import java.util.OptionalLong;

/**
 * Bounds how long and how often one request tries to reserve capacity while the engines are full.
 *
 * @param startMillis clock reading at which the search began
 * @param waitMillis maximum duration of the search
 * @param stage whether the request is new, returning or a retry
 */
public record ReservationWait(long startMillis, long waitMillis, RetryStage stage) {

    public ReservationWait {
        if (waitMillis < 0 || stage == null) {
            throw new IllegalArgumentException(
                    "reservation search of stage "
                            + stage
                            + " has invalid duration "
                            + waitMillis
                            + " ms");
        }
    }

    /**
     * Starts the search of a request.
     *
     * @param nowMillis current clock reading
     * @param limits latency limits of its caller
     * @param stage whether the request is new, returning or a retry
     */
    public static ReservationWait begin(long nowMillis, CallerLimits limits, RetryStage stage) {
        return new ReservationWait(nowMillis, stage.waitMillis(limits), stage);
    }

    /** Returns whether enough time remains for another reservation request after a pause. */
    public boolean mayRetry(long nowMillis) {
        return remainingMillis(nowMillis) >= RetryStage.MIN_PAUSE_MILLIS;
    }

    /** Returns the pause before the next reservation request, in milliseconds. */
    public long pauseMillis(long nowMillis) {
        return stage.pauseMillis(remainingMillis(nowMillis), waitMillis);
    }

    /**
     * Returns the memory that must stay free for another request beside this one's own reservation.
     *
     * <p>The memory of an average request suffices: a large request that left as much again as it
     * needs itself would wait for an engine that is nearly empty.
     *
     * @param nowMillis current clock reading
     * @param ownTokens memory that the request needs, in tokens
     * @param averageTokens memory that an average request needs, in tokens; empty if unknown
     */
    public long headroomTokens(long nowMillis, long ownTokens, OptionalLong averageTokens) {
        return leavesHeadroom(nowMillis) ? Math.min(ownTokens, averageTokens.orElse(ownTokens)) : 0;
    }

    /** Returns whether the request leaves free memory for another one beside its own. */
    boolean leavesHeadroom(long nowMillis) {
        return stage.leavesHeadroom(remainingMillis(nowMillis), waitMillis);
    }

    private long remainingMillis(long nowMillis) {
        return startMillis + waitMillis - nowMillis;
    }
}
