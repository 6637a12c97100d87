package org.cyclamenpaddle.engine.model;

import org.cyclamenpaddle.engine.http.ResponseEnd;

/** Why an engine call failed. */
public sealed interface EngineFailure {

    /** The engine rejected the call because it has no free capacity. */
    record Full() implements EngineFailure {}

    /** The attempt was cancelled, possibly before it arrived. */
    record Cancelled() implements EngineFailure {}

    /** The engine already has this attempt. */
    record Exists() implements EngineFailure {}

    /** The prefill result was evicted before its transfer completed. */
    record Evicted() implements EngineFailure {}

    /** The transfer from the prefill engine stalled. */
    record TransferStalled() implements EngineFailure {}

    /** The engine does not know the attempt. */
    record UnknownAttempt() implements EngineFailure {}

    /**
     * The engine rejected an order with a stale fencing token.
     *
     * @param fence the fencing token that it holds
     */
    record StaleFence(long fence) implements EngineFailure {}

    /**
     * The engine could not be reached, or the connection was lost.
     *
     * @param connected false if provably no byte of the call was sent
     */
    record Unreachable(boolean connected) implements EngineFailure {}

    /**
     * The response ended before it was complete; the engine may have crashed.
     *
     * @param end how it ended
     */
    record Truncated(ResponseEnd end) implements EngineFailure {}

    /** No complete response came in time; the engine may have executed the call. */
    record TimedOut() implements EngineFailure {}

    /**
     * The engine's response is not part of the protocol.
     *
     * @param message description of the violation
     */
    record Protocol(String message) implements EngineFailure {}
}
