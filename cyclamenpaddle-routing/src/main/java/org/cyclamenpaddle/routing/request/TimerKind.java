package org.cyclamenpaddle.routing.request;

/** Timers of a request. */
public enum TimerKind {
    /** No backend server was usable; they are ranked again. */
    PLACE,
    /** Timeout of an owner's response to a grant request. */
    GRANT,
    /**
     * The prefill may start such that its result is ready when the promised decode slot is free.
     */
    PREFILL_START,
    /** Timeout of the prefill, which took far longer than predicted. */
    PREFILL,
    /** Retry on a decode server whose slot was late. */
    SLOT,
    /** Timeout of the transfer. */
    TRANSFER,
    /** Timeout of the next token. */
    SILENCE
}
