package org.cyclamenpaddle.engine.model;

/** Why an engine call did not succeed. */
public sealed interface EngineFailure {

    /** The engine refused: it has no room. */
    record Full() implements EngineFailure {}

    /** The attempt was cancelled, perhaps before it came. */
    record Cancelled() implements EngineFailure {}

    /** The engine has this attempt already. */
    record Exists() implements EngineFailure {}

    /** The prefill result was evicted before its transfer ended. */
    record Evicted() implements EngineFailure {}

    /** The transfer from the prefill engine stalled. */
    record TransferStalled() implements EngineFailure {}

    /** The engine does not know the attempt. */
    record UnknownAttempt() implements EngineFailure {}

    /**
     * The engine refused an order with an old fencing number.
     *
     * @param fence the number it holds
     */
    record StaleFence(long fence) implements EngineFailure {}

    /**
     * The engine could not be reached, or the connection broke.
     *
     * @param connected false if provably no byte of the call left
     */
    record Unreachable(boolean connected) implements EngineFailure {}

    /** No whole answer came in time; the engine may have done the work. */
    record TimedOut() implements EngineFailure {}

    /**
     * The engine answered, but not by the protocol.
     *
     * @param message what was wrong
     */
    record Protocol(String message) implements EngineFailure {}
}
