package org.cyclamenpaddle.core.outcome;

import java.util.Locale;

/** Every reason for which the router itself tries again. */
public enum RetryReason {
    /** The owner of a backend server refused a grant; another one was asked. */
    GRANT_REFUSED,
    /** No connection to the backend server could be had. */
    CONNECT_FAILED,
    /** The engine refused because it was full. */
    ENGINE_FULL,
    /** Prefill failed or passed its deadline. */
    PREFILL_FAILED,
    /** The transfer stalled or failed while the prefill result still lived. */
    TRANSFER_STALLED,
    /** The prefill result was evicted before the transfer ended. */
    RESULT_EVICTED,
    /** The decode stream broke or fell silent, and was resumed from its next index. */
    STREAM_RESUMED,
    /** The decode engine lost the attempt, and the request was prefilled elsewhere. */
    DECODE_LOST,
    /** A call that may be repeated failed on a plain service. */
    REPEATABLE_CALL_FAILED,
    /** A cancel was not confirmed by the engine. */
    CANCEL_UNCONFIRMED,
    /** A platform call failed or its answer was lost. */
    PLATFORM_CALL_FAILED;

    /** Returns the wire form: lower case with dashes, also the counter's {@code reason} tag. */
    public String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
