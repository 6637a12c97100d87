package org.cyclamenpaddle.routing.request;

/** Why a step on an engine failed. */
public enum StepFailure {
    /** The engine had no room. */
    FULL,
    /** The prefill result was gone. */
    EVICTED,
    /** The transfer stalled inside the engine. */
    STALLED,
    /** The connection broke; the work may go on inside the engine. */
    BROKEN,
    /** No answer came in time; nothing tells whether the engine lives. */
    TIMED_OUT,
    /** The engine does not know the attempt. */
    UNKNOWN_ATTEMPT,
    /** No new connection to the engine could be had. */
    UNREACHABLE,
    /** The engine answered something that this version does not understand. */
    PROTOCOL
}
