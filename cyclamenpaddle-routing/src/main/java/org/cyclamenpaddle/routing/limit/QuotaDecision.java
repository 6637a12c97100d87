package org.cyclamenpaddle.routing.limit;

/** Decision about a request that counts against a quota. */
public sealed interface QuotaDecision {

    /** The request may run. */
    QuotaDecision ADMITTED = new Admitted();

    /** The decision needs a response of the shard's owner. */
    QuotaDecision PENDING = new Pending();

    /** The request may run; its cost has been taken. */
    record Admitted() implements QuotaDecision {}

    /** The request waits for a response of the shard's owner. */
    record Pending() implements QuotaDecision {}

    /**
     * The quota is used up.
     *
     * @param retryMillis time after which a retry is likely to be admitted, in milliseconds
     */
    record Denied(long retryMillis) implements QuotaDecision {}
}
