package org.cyclamenpaddle.routing.place;

/**
 * What a request that looks for a place has behind it, and what follows for its search.
 *
 * <p>When more requests come than engines can hold, whoever asks next after a place has come free
 * gets it. So the pauses between asks decide who is served in time.
 */
public enum Seeker {
    /** Has only just come; it can still meet its target. */
    FIRST {
        @Override
        long waitMillis(long targetMillis) {
            return (long) (targetMillis * FIRST_WAIT_SHARE);
        }

        @Override
        long pauseMillis(long leftMillis) {
            return SHORT_PAUSE_MILLIS;
        }
    },

    /**
     * Comes back after a refusal. It has missed its target, and every place that it gets makes
     * another one late: it asks rarely, and often only at the end of its wait, when it would be
     * refused for good.
     */
    COME_BACK {
        @Override
        long waitMillis(long targetMillis) {
            return BACK_WAIT_MILLIS;
        }

        @Override
        long pauseMillis(long leftMillis) {
            long calmMillis = leftMillis - BACK_HURRY_MILLIS;
            return Math.max(SHORT_PAUSE_MILLIS, Math.min(BACK_PAUSE_MILLIS, calmMillis));
        }
    },

    /**
     * Was sent already and has to go on elsewhere. It may have run, so that it cannot be told to
     * come back: given up, it is lost. It asks often, and for as long as its caller stays.
     */
    REPEAT {
        @Override
        long waitMillis(long targetMillis) {
            return REPEAT_WAIT_MILLIS;
        }

        @Override
        long pauseMillis(long leftMillis) {
            return SHORT_PAUSE_MILLIS;
        }
    };

    /**
     * Shortest pause between two asks, in milliseconds: in a full pool of four engines a place
     * comes free about every 90 ms, and an ask takes 3 to 8.
     */
    static final long SHORT_PAUSE_MILLIS = 25;

    /**
     * Pause of a request that comes back, in milliseconds.
     *
     * <p>There are then up to five of them for one of its first time; at a sixteenth of its rate
     * they get about a quarter of the places.
     */
    static final long BACK_PAUSE_MILLIS = 400;

    /**
     * Time before its end from which a request that comes back asks as often as others, in
     * milliseconds: in it about seven places come free in a pool of four engines.
     */
    static final long BACK_HURRY_MILLIS = 600;

    /**
     * Share of the target that a request of its first time may spend on finding a place: what is
     * left suffices to read the prompt and make the first token.
     */
    private static final double FIRST_WAIT_SHARE = 0.55;

    /**
     * Wait of a request that comes back, in milliseconds: callers leave a stream that has not begun
     * after 3.6 s, and reading its prompt takes up to half a second of it.
     */
    private static final long BACK_WAIT_MILLIS = 2_800;

    /**
     * Wait of a request that was sent already, in milliseconds: callers leave a stream that pauses
     * for 3.6 s, of which its break, seen late, and the new reading take up to 1.4.
     */
    private static final long REPEAT_WAIT_MILLIS = 2_200;

    /** Returns for how long the search goes on. */
    abstract long waitMillis(long targetMillis);

    /** Returns the pause before the next ask when so much is left of the search. */
    abstract long pauseMillis(long leftMillis);
}
