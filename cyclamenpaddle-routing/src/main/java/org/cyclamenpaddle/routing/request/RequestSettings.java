package org.cyclamenpaddle.routing.request;

/**
 * Limits of the steps of a request; all times in milliseconds.
 *
 * @param grantMillis timeout of an owner's response
 * @param prefillSlackMillis added to twice the predicted prefill time as the timeout of a prefill
 * @param transferMillis timeout of a transfer, from its start
 * @param silenceMillis longest wait for the next token before the stream is resumed
 * @param recoveryMillis longest time after a failure within which a new placement may start
 * @param maxDecodeChoices decode servers from which a grant is requested before the request is
 *     refused
 * @param maxPlacements maximum number of placements of one request, including the first
 */
public record RequestSettings(
        long grantMillis,
        long prefillSlackMillis,
        long transferMillis,
        long silenceMillis,
        long recoveryMillis,
        int maxDecodeChoices,
        int maxPlacements) {

    public RequestSettings {
        if (grantMillis <= 0 || transferMillis <= 0 || silenceMillis <= 0 || recoveryMillis <= 0) {
            throw new IllegalArgumentException("timeouts of a request must be above 0 ms");
        }
        if (maxDecodeChoices < 1 || maxPlacements < 1) {
            throw new IllegalArgumentException(
                    "limits must be at least 1: choices "
                            + maxDecodeChoices
                            + " and placements "
                            + maxPlacements);
        }
    }

    /** Returns the default settings. */
    public static RequestSettings defaults() {
        return new RequestSettings(150, 500, 1_500, 1_500, 10_000, 4, 4);
    }
}
