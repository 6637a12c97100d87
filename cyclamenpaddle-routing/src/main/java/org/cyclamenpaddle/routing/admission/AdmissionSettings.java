package org.cyclamenpaddle.routing.admission;

/**
 * Settings of {@link Admission}.
 *
 * @param marginMillis time kept back for what predictions leave out
 * @param minRetryAfterMillis shortest wait said to a caller
 * @param maxRetryAfterMillis longest wait said to a caller
 */
public record AdmissionSettings(
        long marginMillis, long minRetryAfterMillis, long maxRetryAfterMillis) {

    /** Values for engines that make a token in some tens of milliseconds. */
    public static final AdmissionSettings DEFAULTS = new AdmissionSettings(10, 500, 10_000);

    public AdmissionSettings {
        if (marginMillis < 0
                || minRetryAfterMillis < 1
                || maxRetryAfterMillis < minRetryAfterMillis) {
            throw new IllegalArgumentException(
                    "admission times are contradictory: margin "
                            + marginMillis
                            + ", retry after "
                            + minRetryAfterMillis
                            + " to "
                            + maxRetryAfterMillis);
        }
    }
}
