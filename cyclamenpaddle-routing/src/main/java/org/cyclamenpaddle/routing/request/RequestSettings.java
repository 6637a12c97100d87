package org.cyclamenpaddle.routing.request;

/**
 * Bounds on the steps of a request; all times in milliseconds.
 *
 * @param grantMillis longest wait for an owner's answer
 * @param prefillSlackMillis added to twice the predicted prefill before it counts as failed
 * @param transferMillis longest wait from the start of a transfer to its end
 * @param silenceMillis longest wait for the next token before the stream is resumed
 * @param recoveryMillis after a failure, how late a new placement may still start
 * @param maxDecodeChoices decode servers asked for a grant before the request is refused
 * @param maxPlacements placements of one request, the first included
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
            throw new IllegalArgumentException("request settings must be above 0 ms");
        }
        if (maxDecodeChoices < 1 || maxPlacements < 1) {
            throw new IllegalArgumentException(
                    "choices " + maxDecodeChoices + " and placements " + maxPlacements);
        }
    }

    /** Returns the settings that a host uses unless told otherwise. */
    public static RequestSettings defaults() {
        return new RequestSettings(150, 500, 1_500, 1_500, 10_000, 4, 4);
    }
}
