package org.cyclamenpaddle.routing.reservation;

import java.util.Collection;
import java.util.OptionalLong;
import org.cyclamenpaddle.routing.memory.RunningGeneration;

/**
 * Bounds how long and how often one request tries to reserve capacity while the engines are full.
 *
 * @param startMillis clock reading at which the search began
 * @param waitMillis maximum duration of the search
 * @param stage whether the request is new, returning or a retry
 * @param urgency urgency of the request; only the rules of a new request depend on it
 */
public record ReservationWait(
        long startMillis, long waitMillis, RetryStage stage, Urgency urgency) {

    /**
     * Maximum number of more urgent classes that prolong the pauses: with four times the longest
     * pause, a request with a target of 0.8 s still asks twice.
     */
    private static final int MAX_CLASSES = 3;

    public ReservationWait {
        if (waitMillis < 0 || stage == null || urgency == null) {
            throw new IllegalArgumentException(
                    "reservation search of stage "
                            + stage
                            + " has invalid duration "
                            + waitMillis
                            + " ms");
        }
    }

    /**
     * Starts the search of a request whose service has one priority.
     *
     * @param nowMillis current clock reading
     * @param limits latency limits of its caller
     * @param stage whether the request is new, returning or a retry
     */
    public static ReservationWait begin(long nowMillis, CallerLimits limits, RetryStage stage) {
        return begin(nowMillis, limits, stage, Urgency.EQUAL);
    }

    /**
     * Starts the search of a request.
     *
     * @param nowMillis current clock reading
     * @param limits latency limits of its caller
     * @param stage whether the request is new, returning or a retry
     * @param urgency urgency of the request in its service
     */
    public static ReservationWait begin(
            long nowMillis, CallerLimits limits, RetryStage stage, Urgency urgency) {
        return new ReservationWait(nowMillis, stage.waitMillis(limits), stage, urgency);
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

    /**
     * Returns the memory that must stay free for more urgent requests beside this one's own
     * reservation.
     *
     * <p>In the final part of its wait a request leaves none: it would be refused otherwise, come
     * back and be late.
     *
     * @param nowMillis current clock reading
     * @param ownTokens memory that the request needs, in tokens
     * @param averageTokens memory that an average request needs, in tokens; empty if unknown
     * @param running generations that the engine runs, as last reported; empty without a report
     */
    public long urgentTokens(
            long nowMillis,
            long ownTokens,
            OptionalLong averageTokens,
            Collection<RunningGeneration> running) {
        boolean leaves =
                stage == RetryStage.FIRST
                        && urgency.moreUrgent() > 0
                        && remainingMillis(nowMillis) > waitMillis * RetryStage.FINAL_SHARE;
        return leaves
                ? UrgentMemory.tokens(running, urgency.priority(), averageTokens.orElse(ownTokens))
                : 0;
    }

    /** Returns whether pauses grow with the number of rounds. */
    boolean pausesGrow() {
        return stage != RetryStage.FIRST || urgency.level() != Urgency.Level.HIGHEST;
    }

    /**
     * Returns a pause that is longer the more classes are more urgent; it ends before the wait
     * does, so that the request can still ask once.
     *
     * @param equalMillis pause of a request whose service has one priority
     * @param nowMillis current clock reading
     */
    long orderedPauseMillis(long equalMillis, long nowMillis) {
        int classes = stage == RetryStage.FIRST ? urgency.moreUrgent() : 0;
        long longer = equalMillis * (1 + Math.min(MAX_CLASSES, classes));
        long untilLastTry = remainingMillis(nowMillis) - RetryStage.MIN_PAUSE_MILLIS;
        return Math.max(equalMillis, Math.min(longer, untilLastTry));
    }

    /** Returns whether the request leaves free memory for another one beside its own. */
    boolean leavesHeadroom(long nowMillis) {
        return stage.leavesHeadroom(remainingMillis(nowMillis), waitMillis);
    }

    private long remainingMillis(long nowMillis) {
        return startMillis + waitMillis - nowMillis;
    }
}
