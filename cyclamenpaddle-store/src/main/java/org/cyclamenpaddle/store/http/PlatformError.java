package org.cyclamenpaddle.store.http;

/** Why a platform call gave no answer that can be used. */
public sealed interface PlatformError {

    /** Returns whether the call may have taken effect at the platform all the same. */
    boolean mayHaveTakenEffect();

    /**
     * The platform could not be reached, or the connection broke.
     *
     * @param detail what happened
     * @param mayHaveTakenEffect false only if no connection came about
     */
    record Unreachable(String detail, boolean mayHaveTakenEffect) implements PlatformError {}

    /**
     * No whole answer came in time.
     *
     * @param timeoutMillis how long was waited, in milliseconds
     */
    record TimedOut(long timeoutMillis) implements PlatformError {
        @Override
        public boolean mayHaveTakenEffect() {
            return true;
        }
    }

    /**
     * The platform answered, but with no answer of its protocol.
     *
     * @param status HTTP status
     * @param reason what it said, or what was wrong with the answer
     */
    record Rejected(int status, String reason) implements PlatformError {

        private static final int SERVER_ERROR = 500;
        private static final int CLIENT_ERROR = 400;

        /**
         * True but for a 4xx: a server error may come after the write, and so may an answer with a
         * success status that can't be read.
         */
        @Override
        public boolean mayHaveTakenEffect() {
            return status < CLIENT_ERROR || status >= SERVER_ERROR;
        }
    }
}
