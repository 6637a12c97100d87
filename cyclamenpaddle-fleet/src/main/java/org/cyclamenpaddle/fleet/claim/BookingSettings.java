package org.cyclamenpaddle.fleet.claim;

/**
 * Limits of one keyed call.
 *
 * @param backendTries how many backend servers are tried before the first byte
 * @param queryIntervalMillis interval at which the holder of a claim is asked while the call runs
 *     there
 * @param peerResponseMaxAgeMillis how long after the peers were asked their answers count; to be
 *     shorter than the time after which callers send again
 */
public record BookingSettings(
        int backendTries, long queryIntervalMillis, long peerResponseMaxAgeMillis) {

    /** Settings in common use. */
    public static final BookingSettings DEFAULTS = new BookingSettings(3, 200, 500);

    public BookingSettings {
        if (backendTries < 1 || queryIntervalMillis <= 0 || peerResponseMaxAgeMillis <= 0) {
            throw new IllegalArgumentException(
                    "tries "
                            + backendTries
                            + " and ask interval "
                            + queryIntervalMillis
                            + " ms must be above 0");
        }
    }
}
