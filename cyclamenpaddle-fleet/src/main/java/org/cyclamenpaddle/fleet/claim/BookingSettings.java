package org.cyclamenpaddle.fleet.claim;

/**
 * Limits of one booking.
 *
 * @param backendTries maximum number of backend servers tried before the first byte
 * @param queryIntervalMillis interval in milliseconds at which the holder of a claim is queried
 *     while the call runs there
 * @param peerResponseMaxAgeMillis maximum age of the peers' responses in milliseconds, counted from
 *     the query; must be shorter than the time after which callers send again
 */
public record BookingSettings(
        int backendTries, long queryIntervalMillis, long peerResponseMaxAgeMillis) {

    /** Default settings. */
    public static final BookingSettings DEFAULTS = new BookingSettings(3, 200, 500);

    public BookingSettings {
        if (backendTries < 1 || queryIntervalMillis <= 0 || peerResponseMaxAgeMillis <= 0) {
            throw new IllegalArgumentException(
                    "tries "
                            + backendTries
                            + " and query interval "
                            + queryIntervalMillis
                            + " ms must be above 0");
        }
    }
}
