package org.cyclamenpaddle.routing.request;

/** Deadlines that a request sets for itself. */
public enum TimerKind {
    /** After a failure no backend server was free; they are ranked again. */
    PLACE,
    /** An owner did not answer. */
    GRANT,
    /** The prefill may start, so that its result meets the promised decode slot. */
    PREFILL_START,
    /** The prefill took far longer than predicted. */
    PREFILL,
    /** A decode server whose slot was late is tried again. */
    SLOT,
    /** The transfer did not end. */
    TRANSFER,
    /** No token came. */
    SILENCE
}
