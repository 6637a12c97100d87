package org.cyclamenpaddle.core.outcome;

/**
 * A refusal as a value: the reason, what the caller is told besides, and when to come back.
 *
 * @param reason why
 * @param detail one sentence that names the value at fault; empty where the reason says it all
 * @param retryAfterMillis when waiting helps, how long in milliseconds; else 0
 */
public record Refusal(RefusalReason reason, String detail, long retryAfterMillis) {

    private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;

    public Refusal {
        if (reason == null || detail == null) {
            throw new IllegalArgumentException("refusal needs a reason and a detail");
        }
        if (retryAfterMillis < 0) {
            throw new IllegalArgumentException(
                    "retry after " + retryAfterMillis + " ms must not be negative");
        }
    }

    /** Returns a refusal whose wait, where waiting helps, is one second. */
    public static Refusal of(RefusalReason reason, String detail) {
        long wait = reason.retryable() ? DEFAULT_RETRY_AFTER_MILLIS : 0;
        return new Refusal(reason, detail, wait);
    }
}
