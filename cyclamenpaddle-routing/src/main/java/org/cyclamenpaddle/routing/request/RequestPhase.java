package org.cyclamenpaddle.routing.request;

/** Where a request stands. */
public enum RequestPhase {
    NEW,
    /** After a failure, waiting for a backend server that may run it. */
    REPLACING,
    PLACING_PREFILL,
    PLACING_DECODE,
    /** Both halves are granted; the prefill starts so that its result meets the slot. */
    WAITING,
    PREFILLING,
    TRANSFERRING,
    STREAMING,
    DONE
}
