package org.cyclamenpaddle.routing.request;

import org.cyclamenpaddle.core.outcome.RetryReason;

/** Why a step on an engine failed, and what that says of the engine. */
public enum StepFailure {
    /** The engine had no room. */
    FULL(RetryReason.ENGINE_FULL, RetryReason.ENGINE_FULL),
    /** The prefill result was gone. */
    EVICTED(RetryReason.PREFILL_FAILED, RetryReason.RESULT_EVICTED),
    /** The transfer stalled inside the engine. */
    STALLED(RetryReason.PREFILL_FAILED, RetryReason.TRANSFER_STALLED),
    /** The connection broke; the work may go on inside the engine. */
    BROKEN(RetryReason.PREFILL_FAILED, RetryReason.TRANSFER_STALLED),
    /** No answer came in time; nothing tells whether the engine lives. */
    TIMED_OUT(RetryReason.PREFILL_FAILED, RetryReason.TRANSFER_STALLED),
    /** The engine does not know the attempt. */
    UNKNOWN_ATTEMPT(RetryReason.PREFILL_FAILED, RetryReason.TRANSFER_STALLED),
    /** No new connection to the engine could be had. */
    UNREACHABLE(RetryReason.CONNECT_FAILED, RetryReason.CONNECT_FAILED),
    /** The engine answered something that this version does not understand. */
    PROTOCOL(RetryReason.PREFILL_FAILED, RetryReason.TRANSFER_STALLED);

    private final RetryReason mPrefillReason;
    private final RetryReason mTransferReason;

    StepFailure(RetryReason prefillReason, RetryReason transferReason) {
        mPrefillReason = prefillReason;
        mTransferReason = transferReason;
    }

    /** Returns the reason for a retry after a prefill failed so. */
    public RetryReason prefillReason() {
        return mPrefillReason;
    }

    /** Returns the reason for a retry after a transfer failed so. */
    public RetryReason transferReason() {
        return mTransferReason;
    }

    /**
     * Returns whether a prefill that failed so was on an engine that died.
     *
     * <p>Each prefill has a connection of its own; one that breaks in the middle is taken for a
     * crash. One that was never opened can't have crashed the engine.
     */
    boolean duringPrefillProvesDeath() {
        return this == BROKEN;
    }

    /** Returns whether a transfer that failed so was on an engine that lost its state. */
    boolean duringTransferProvesDeath() {
        return this == UNKNOWN_ATTEMPT;
    }

    /** Returns whether a stream that failed so was on an engine that died or lost its state. */
    boolean duringStreamProvesDeath() {
        return this == UNREACHABLE || this == UNKNOWN_ATTEMPT;
    }

    /** Returns whether the engine may go on with a stream that failed so. */
    boolean mayHaveLeftStreamRunning() {
        return this == BROKEN || this == TIMED_OUT;
    }
}
