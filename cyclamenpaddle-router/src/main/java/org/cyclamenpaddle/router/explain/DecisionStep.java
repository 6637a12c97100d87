package org.cyclamenpaddle.router.explain;

import java.util.Locale;

/** Steps of a request at which a decision is recorded. */
public enum DecisionStep {
    /** The request was parsed and its service found. */
    TAKEN,
    /** The request was admitted, with its predicted latency. */
    ADMITTED,
    /** Backend servers were ranked. */
    PLACED,
    /** A grant was requested from the owner of a backend server. */
    GRANT_ASKED,
    /** The owner responded to a grant request. */
    GRANT_ANSWERED,
    /** Prefill started. */
    PREFILL_STARTED,
    /** Prefill ended, successfully or not. */
    PREFILL_ENDED,
    /** The transfer of the KV cache ended, successfully or not. */
    TRANSFER_ENDED,
    /** The first token arrived. */
    FIRST_TOKEN,
    /** The token stream was resumed over a new connection. */
    RESUMED,
    /** An attempt failed or was retried. */
    RETRIED,
    /** A claim of an Idempotency-Key was requested, queried or settled. */
    CLAIM,
    /** A call was sent to a plain service. */
    CALL_SENT,
    /** An attempt was cancelled. */
    CANCELLED,
    /** A strike was recorded, or the request was quarantined. */
    QUARANTINE,
    /** The request was refused or ended without a complete response. */
    REFUSED,
    /** The response was completed. */
    ANSWERED;

    /** Returns the wire format: lower case with dashes. */
    public String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
