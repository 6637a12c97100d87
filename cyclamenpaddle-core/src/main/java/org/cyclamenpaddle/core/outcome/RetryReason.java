package org.cyclamenpaddle.core.outcome;

import java.util.Locale;

/** Reasons for which the router retries an operation itself. */
public enum RetryReason {
    /** The owner of a backend server refused a grant; the request went to another one. */
    GRANT_REFUSED,
    /** The connection to the backend server could not be opened. */
    CONNECT_FAILED,
    /** The engine rejected the request because it was full. */
    ENGINE_FULL,
    /** Prefill failed or exceeded its deadline. */
    PREFILL_FAILED,
    /** The KV cache transfer stalled or failed while the prefill result was still available. */
    TRANSFER_STALLED,
    /** The prefill result was evicted before the transfer ended. */
    RESULT_EVICTED,
    /** The decode stream was disconnected or went silent, and was resumed from its next index. */
    STREAM_RESUMED,
    /**
     * The decode engine lost the attempt, and the request was prefilled again on another engine.
     */
    DECODE_LOST,
    /** An idempotent call failed on a plain service. */
    REPEATABLE_CALL_FAILED,
    /** The engine did not confirm a cancellation. */
    CANCEL_UNCONFIRMED,
    /** A platform call failed or its response was lost. */
    PLATFORM_CALL_FAILED;

    /** Returns the wire form: lower case with dashes, also the counter's {@code reason} tag. */
    public String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
