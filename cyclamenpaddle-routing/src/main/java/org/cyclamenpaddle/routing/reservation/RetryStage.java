package org.cyclamenpaddle.routing.reservation;

/**
 * Stage of a request that searches for capacity, which decides how long and how often it tries.
 *
 * <p>When more requests arrive than the engines can hold, the next request sent after capacity
 * becomes free gets it. So the pauses between reservation requests, and the free memory they
 * require, decide which callers are served in time.
 */
public enum RetryStage {
    /** First attempt of a new request; it can still meet its target. */
    FIRST {
        @Override
        long waitMillis(CallerLimits limits) {
            return (long) (limits.targetMillis() * FIRST_WAIT_SHARE);
        }

        @Override
        long pauseMillis(long remainingMillis, long waitMillis) {
            return MIN_PAUSE_MILLIS;
        }
    },

    /**
     * Request of a caller that returns after a refusal. It has missed its target, and all capacity
     * that it takes makes another request late: it tries rarely and requires more free memory than
     * it needs. Only at the end of its wait, when it would be refused for good, does it try like
     * others.
     */
    RETURNING {
        @Override
        long waitMillis(CallerLimits limits) {
            return (long) (limits.silenceMillis() * RETURNING_WAIT_SHARE);
        }

        @Override
        long pauseMillis(long remainingMillis, long waitMillis) {
            long millisUntilFinalPart = remainingMillis - (long) (waitMillis * FINAL_SHARE);
            return Math.max(
                    MIN_PAUSE_MILLIS, Math.min(RETURNING_PAUSE_MILLIS, millisUntilFinalPart));
        }

        @Override
        boolean leavesHeadroom(long remainingMillis, long waitMillis) {
            return remainingMillis > waitMillis * FINAL_SHARE;
        }
    },

    /**
     * Request that was already sent to an engine and must continue on another one. It may have run,
     * so its caller cannot be asked to retry, and abandoning it loses it. It tries often, and for
     * as long as its caller stays connected.
     */
    RETRY {
        @Override
        long waitMillis(CallerLimits limits) {
            return (long) (limits.silenceMillis() * RETRY_WAIT_SHARE);
        }

        @Override
        long pauseMillis(long remainingMillis, long waitMillis) {
            return MIN_PAUSE_MILLIS;
        }
    };

    /**
     * Minimum pause between two reservation requests, in milliseconds; a request itself takes a
     * few.
     */
    static final long MIN_PAUSE_MILLIS = 25;

    /**
     * Pause of a returning caller's request, in milliseconds: a sixteenth of the rate of others.
     */
    static final long RETURNING_PAUSE_MILLIS = 16 * MIN_PAUSE_MILLIS;

    /**
     * Final share of its wait in which a returning caller's request tries as often as others, and
     * in which no request leaves memory free for others.
     */
    static final double FINAL_SHARE = 0.2;

    /**
     * Share of the target that a new request may spend on reserving capacity: the rest suffices for
     * prefill and the first token.
     */
    private static final double FIRST_WAIT_SHARE = 0.55;

    /**
     * Share of the silence timeout that a returning caller's request may wait; the rest is for
     * prefill.
     */
    private static final double RETURNING_WAIT_SHARE = 0.78;

    /**
     * Share of the silence timeout that a retried request may wait; the time until the broken
     * stream is detected and the new prefill take the rest.
     */
    private static final double RETRY_WAIT_SHARE = 0.6;

    /** Returns the maximum duration of the search, in milliseconds. */
    abstract long waitMillis(CallerLimits limits);

    /**
     * Returns the pause before the next reservation request, given the remaining time of the
     * search.
     */
    abstract long pauseMillis(long remainingMillis, long waitMillis);

    /** Returns whether memory for another request must be free beside the request's own. */
    boolean leavesHeadroom(long remainingMillis, long waitMillis) {
        return false;
    }
}
