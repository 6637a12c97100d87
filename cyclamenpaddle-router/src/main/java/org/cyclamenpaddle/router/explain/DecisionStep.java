package org.cyclamenpaddle.router.explain;

import java.util.Locale;

/** Steps of a request at which something is decided. */
public enum DecisionStep {
    /** The request was read and its service found. */
    TAKEN,
    /** It was let in, with what was predicted for it. */
    ADMITTED,
    /** Backend servers were put in order. */
    PLACED,
    /** A grant was asked of the owner of a backend server. */
    GRANT_ASKED,
    /** The owner answered. */
    GRANT_ANSWERED,
    /** Prefill began. */
    PREFILL_STARTED,
    /** Prefill ended, well or not. */
    PREFILL_ENDED,
    /** The KV cache was transferred, or not. */
    TRANSFER_ENDED,
    /** The first token came. */
    FIRST_TOKEN,
    /** The token stream was resumed by a new connection. */
    RESUMED,
    /** The router tries again. */
    RETRIED,
    /** A claim of an Idempotency-Key was asked or settled. */
    CLAIM,
    /** A call was sent to a plain service. */
    CALL_SENT,
    /** An attempt was cancelled. */
    CANCELLED,
    /** A strike was given, or the request was quarantined. */
    QUARANTINE,
    /** The request was refused or ended without its answer. */
    REFUSED,
    /** The request was answered in full. */
    ANSWERED;

    /** Returns the wire form: lower case with dashes. */
    public String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
