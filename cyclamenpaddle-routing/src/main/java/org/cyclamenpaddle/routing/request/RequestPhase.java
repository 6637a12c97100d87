package org.cyclamenpaddle.routing.request;

/** Phase of a request. */
public enum RequestPhase {
    NEW,
    /** Waiting for a usable backend server after a failure or while ledgers change owner. */
    AWAITING_BACKEND,
    PLACING_PREFILL,
    PLACING_DECODE,
    /**
     * Both parts are granted; the prefill starts such that its result is ready when the slot is
     * free.
     */
    WAITING,
    PREFILLING,
    TRANSFERRING,
    STREAMING,
    DONE
}
