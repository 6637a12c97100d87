package org.cyclamenpaddle.core.outcome;

/**
 * Refusal of a request, with its reason, an optional detail and the retry delay.
 *
 * @param reason reason of the refusal
 * @param detail one sentence that names the offending value; empty if the reason is sufficient
 * @param retryAfterMillis retry delay in milliseconds; 0 if a retry cannot succeed
 */
public record Refusal(RefusalReason reason, String detail, long retryAfterMillis) {

    private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;

    public Refusal {
        if (reason == null || detail == null) {
            throw new IllegalArgumentException("refusal needs a reason and a detail");
        }
        if (retryAfterMillis < 0) {
            throw new IllegalArgumentException(
                    "retry delay of " + retryAfterMillis + " ms must not be negative");
        }
    }

    /** Returns a refusal with a retry delay of one second if its reason is retryable. */
    public static Refusal of(RefusalReason reason, String detail) {
        long delayMillis = reason.retryable() ? DEFAULT_RETRY_AFTER_MILLIS : 0;
        return new Refusal(reason, detail, delayMillis);
    }
}
