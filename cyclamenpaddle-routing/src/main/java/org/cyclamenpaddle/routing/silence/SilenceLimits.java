package org.cyclamenpaddle.routing.silence;

/**
 * Times after which a server that sends nothing counts as silent for one request.
 *
 * @param firstEventMillis limit until its first event or response
 * @param nextEventMillis limit between the events of a stream
 * @param suspectMillis limit until its first event or response from which the server is suspect,
 *     whatever time the request has left
 */
public record SilenceLimits(long firstEventMillis, long nextEventMillis, long suspectMillis) {

    /**
     * Multiple of the route's target latency. The first event of a request that waits for memory at
     * an engine takes up to two targets.
     */
    private static final double FIRST_EVENT_TARGETS = 2.5;

    /** Share of the time that the caller waits, so that a second server has as much left. */
    private static final double REMAINING_SHARE = 0.45;

    /** Share of the silence after which callers leave; a second server needs the rest of it. */
    private static final double NEXT_EVENT_SHARE = 0.4;

    /**
     * Multiple of a limit after which a request is sent to a server that may be silent as well. A
     * stream then has 0.36 of the silence left that its caller accepts, more than a target latency.
     */
    private static final double OVERDUE_LIMITS = 1.6;

    /**
     * Share of a limit in which a server that responds to some requests again is expected to
     * respond to all. Servers take up their requests one after the other when they go on.
     */
    private static final double RESUME_SHARE = 0.6;

    /** Share of a limit after which the decision on a second server is taken again. */
    private static final double RECHECK_SHARE = 0.2;

    /** Shortest time between two decisions on one request, in milliseconds. */
    private static final long MIN_RECHECK_MILLIS = 50;

    /** Share of a limit from which another server with work there counts as silent as well. */
    private static final double OTHER_SHARE = 0.5;

    public SilenceLimits {
        if (firstEventMillis < 0 || nextEventMillis < 0 || suspectMillis < 0) {
            throw new IllegalArgumentException(
                    "negative limit of a silence: "
                            + firstEventMillis
                            + " ms, "
                            + nextEventMillis
                            + " ms, "
                            + suspectMillis
                            + " ms");
        }
    }

    /**
     * Returns the limits of a request.
     *
     * @param targetMillis target latency of its route
     * @param silenceMillis silence after which its caller leaves
     * @param remainingMillis time until its timeout
     */
    public static SilenceLimits of(long targetMillis, long silenceMillis, long remainingMillis) {
        long targetsMillis = (long) (targetMillis * FIRST_EVENT_TARGETS);
        return new SilenceLimits(
                Math.min(targetsMillis, (long) (remainingMillis * REMAINING_SHARE)),
                (long) (silenceMillis * NEXT_EVENT_SHARE),
                targetsMillis);
    }

    /** Returns the limit from which the server is suspect. */
    public long suspectMillis(boolean begun) {
        return begun ? nextEventMillis : suspectMillis;
    }

    /** Returns the limit for a request whose response has begun or has not. */
    public long millis(boolean begun) {
        return begun ? nextEventMillis : firstEventMillis;
    }

    /** Returns the time after which a decision is taken again, in milliseconds. */
    public static long recheckMillis(long limitMillis) {
        return Math.max(MIN_RECHECK_MILLIS, (long) (limitMillis * RECHECK_SHARE));
    }

    /** Returns the time after which a request waits no longer for evidence about other servers. */
    public static long overdueMillis(long limitMillis) {
        return (long) (limitMillis * OVERDUE_LIMITS);
    }

    /** Returns the time in which a server that responds again is expected to respond to all. */
    public static long resumeMillis(long limitMillis) {
        return (long) (limitMillis * RESUME_SHARE);
    }

    /** Returns the time from which another server with work counts as silent, in milliseconds. */
    public static long otherMillis(long limitMillis) {
        return (long) (limitMillis * OTHER_SHARE);
    }
}
