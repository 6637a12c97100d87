package org.cyclamenpaddle.routing.admission;

/**
 * Settings of {@link Admission}.
 *
 * @param marginMillis safety margin for what the predictions do not cover
 * @param minRetryAfterMillis minimum retry delay sent to a caller
 * @param maxRetryAfterMillis maximum retry delay sent to a caller
 */
public record AdmissionSettings(
        long marginMillis, long minRetryAfterMillis, long maxRetryAfterMillis) {

    /** Defaults for engines that generate a token in some tens of milliseconds. */
    public static final AdmissionSettings DEFAULTS = new AdmissionSettings(10, 500, 10_000);

    public AdmissionSettings {
        if (marginMillis < 0
                || minRetryAfterMillis < 1
                || maxRetryAfterMillis < minRetryAfterMillis) {
            throw new IllegalArgumentException(
                    "invalid admission times in ms: margin "
                            + marginMillis
                            + ", retry after "
                            + minRetryAfterMillis
                            + " to "
                            + maxRetryAfterMillis);
        }
    }
}
