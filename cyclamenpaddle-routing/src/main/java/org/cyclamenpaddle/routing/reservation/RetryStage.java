package org.cyclamenpaddle.routing.reservation;

/**
 * What a request that looks for a place has behind it, and what follows for its search.
 *
 * <p>When more requests come than engines can hold, whoever asks next after a place has come free
 * gets it. So the pauses between asks, and the room that is asked for, decide who is served in
 * time.
 */
public enum RetryStage {
    /** Has only just come; it can still meet its target. */
    FIRST {
        @Override
        long waitMillis(CallerLimits terms) {
            return (long) (terms.targetMillis() * FIRST_WAIT_SHARE);
        }

        @Override
        long pauseMillis(long leftMillis, long waitMillis) {
            return SHORT_PAUSE_MILLIS;
        }
    },

    /**
     * Comes back after a refusal. It has missed its target, and every place that it gets makes
     * another one late: it asks rarely and for more than it needs, and like others only at the end
     * of its wait, when it would be refused for good.
     */
    RETURNING {
        @Override
        long waitMillis(CallerLimits terms) {
            return (long) (terms.silenceMillis() * BACK_WAIT_SHARE);
        }

        @Override
        long pauseMillis(long leftMillis, long waitMillis) {
            long calmMillis = leftMillis - (long) (waitMillis * BACK_HURRY_SHARE);
            return Math.max(SHORT_PAUSE_MILLIS, Math.min(BACK_PAUSE_MILLIS, calmMillis));
        }

        @Override
        boolean yields(long leftMillis, long waitMillis) {
            return leftMillis > waitMillis * BACK_HURRY_SHARE;
        }
    },

    /**
     * Was sent already and has to go on elsewhere. It may have run, so that it cannot be told to
     * come back: given up, it is lost. It asks often, and for as long as its caller stays.
     */
    RETRY {
        @Override
        long waitMillis(CallerLimits terms) {
            return (long) (terms.silenceMillis() * REPEAT_WAIT_SHARE);
        }

        @Override
        long pauseMillis(long leftMillis, long waitMillis) {
            return SHORT_PAUSE_MILLIS;
        }
    };

    /** Shortest pause between two asks, in milliseconds; an ask itself takes a few. */
    static final long SHORT_PAUSE_MILLIS = 25;

    /** Pause of a request that comes back, in milliseconds: a sixteenth of the others' rate. */
    static final long BACK_PAUSE_MILLIS = 16 * SHORT_PAUSE_MILLIS;

    /** Share of its wait at the end of which a request that comes back asks like others. */
    static final double BACK_HURRY_SHARE = 0.2;

    /**
     * Share of the target that a request of its first time may spend on finding a place: what is
     * left suffices to read the prompt and make the first token.
     */
    private static final double FIRST_WAIT_SHARE = 0.55;

    /** Share of a bearable silence that a come-back may wait; its prompt is read in the rest. */
    private static final double BACK_WAIT_SHARE = 0.78;

    /**
     * Share of a bearable silence that a request may wait that was sent already; the break, seen
     * late, and the new reading take the rest.
     */
    private static final double REPEAT_WAIT_SHARE = 0.6;

    /** Returns for how long the search goes on. */
    abstract long waitMillis(CallerLimits terms);

    /** Returns the pause before the next ask when so much is left of the search. */
    abstract long pauseMillis(long leftMillis, long waitMillis);

    /** Returns whether room for another request must be free beside its own. */
    boolean yields(long leftMillis, long waitMillis) {
        return false;
    }
}
