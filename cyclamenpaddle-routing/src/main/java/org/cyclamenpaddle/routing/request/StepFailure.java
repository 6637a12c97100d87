package org.cyclamenpaddle.routing.request;

import org.cyclamenpaddle.core.outcome.RetryReason;

/** Cause of a failed step on an engine, and what it indicates about the engine. */
public enum StepFailure {
    /** The engine had no free capacity. */
    FULL(RetryReason.ENGINE_FULL, RetryReason.ENGINE_FULL),
    /** The prefill result was evicted. */
    EVICTED(RetryReason.PREFILL_FAILED, RetryReason.RESULT_EVICTED),
    /** The transfer stalled inside the engine. */
    STALLED(RetryReason.PREFILL_FAILED, RetryReason.TRANSFER_STALLED),
    /** The connection broke; the engine may still continue the work. */
    BROKEN(RetryReason.PREFILL_FAILED, RetryReason.TRANSFER_STALLED),
    /** No response within the timeout; the state of the engine is unknown. */
    TIMED_OUT(RetryReason.PREFILL_FAILED, RetryReason.TRANSFER_STALLED),
    /** The engine does not know the attempt. */
    UNKNOWN_ATTEMPT(RetryReason.PREFILL_FAILED, RetryReason.TRANSFER_STALLED),
    /** No new connection to the engine could be opened. */
    UNREACHABLE(RetryReason.CONNECT_FAILED, RetryReason.CONNECT_FAILED),
    /** The engine's response is not understood by this version. */
    PROTOCOL(RetryReason.PREFILL_FAILED, RetryReason.TRANSFER_STALLED);

    private final RetryReason mPrefillReason;
    private final RetryReason mTransferReason;

    StepFailure(RetryReason prefillReason, RetryReason transferReason) {
        mPrefillReason = prefillReason;
        mTransferReason = transferReason;
    }

    /** Returns the retry reason for this failure of a prefill. */
    public RetryReason prefillReason() {
        return mPrefillReason;
    }

    /** Returns the retry reason for this failure of a transfer. */
    public RetryReason transferReason() {
        return mTransferReason;
    }

    /**
     * Returns whether this failure of a prefill indicates that the engine crashed.
     *
     * <p>Each prefill has its own connection; a connection that breaks during it is taken as a
     * crash. A request whose connection was never opened cannot have crashed the engine.
     */
    boolean prefillIndicatesCrash() {
        return this == BROKEN;
    }

    /** Returns whether this failure of a transfer indicates that the engine lost its state. */
    boolean transferIndicatesLostState() {
        return this == UNKNOWN_ATTEMPT;
    }

    /**
     * Returns whether this failure of a stream indicates that the engine crashed or lost its state.
     */
    boolean streamIndicatesCrash() {
        return this == UNREACHABLE || this == UNKNOWN_ATTEMPT;
    }

    /** Returns whether the engine may continue a stream after this failure. */
    boolean streamMayContinue() {
        return this == BROKEN || this == TIMED_OUT;
    }
}
