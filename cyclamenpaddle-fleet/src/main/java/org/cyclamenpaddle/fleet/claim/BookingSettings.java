package org.cyclamenpaddle.fleet.claim;

/**
 * Limits of one keyed call.
 *
 * @param backendTries how many backend servers are tried before the first byte
 * @param askMillis interval at which the holder of a claim is asked while the call runs there
 * @param peersMillis how long after the peers were asked their answers count; to be shorter than
 *     the time after which callers send again
 */
public record BookingSettings(int backendTries, long askMillis, long peersMillis) {

    /** Settings in common use. */
    public static final BookingSettings DEFAULTS = new BookingSettings(3, 200, 500);

    public BookingSettings {
        if (backendTries < 1 || askMillis <= 0 || peersMillis <= 0) {
            throw new IllegalArgumentException(
                    "tries "
                            + backendTries
                            + " and ask interval "
                            + askMillis
                            + " ms must be above 0");
        }
    }
}
