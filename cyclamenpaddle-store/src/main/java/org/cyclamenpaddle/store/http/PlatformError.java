package org.cyclamenpaddle.store.http;

/** Why a platform call failed. */
public sealed interface PlatformError {

    /** Returns whether the call may have taken effect at the platform despite the failure. */
    boolean mayHaveTakenEffect();

    /**
     * The platform could not be reached, or the connection was lost.
     *
     * @param detail the cause
     * @param mayHaveTakenEffect false only if no connection was established
     */
    record Unreachable(String detail, boolean mayHaveTakenEffect) implements PlatformError {}

    /**
     * No complete response came in time.
     *
     * @param timeoutMillis the response timeout, in milliseconds
     */
    record TimedOut(long timeoutMillis) implements PlatformError {
        @Override
        public boolean mayHaveTakenEffect() {
            return true;
        }
    }

    /**
     * The platform responded with an error status or with a response that is not part of the
     * protocol.
     *
     * @param status HTTP status
     * @param reason body of the response
     */
    record Rejected(int status, String reason) implements PlatformError {

        private static final int SERVER_ERROR = 500;
        private static final int CLIENT_ERROR = 400;

        /**
         * Returns true unless the status is 4xx: a server error may follow a write that took
         * effect, and so may a malformed response with a success status.
         */
        @Override
        public boolean mayHaveTakenEffect() {
            return status < CLIENT_ERROR || status >= SERVER_ERROR;
        }
    }
}
