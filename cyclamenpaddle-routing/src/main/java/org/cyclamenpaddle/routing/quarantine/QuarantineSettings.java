package org.cyclamenpaddle.routing.quarantine;

/**
 * Settings of {@link Quarantine}.
 *
 * @param strikesToQuarantine distinct backend servers that must have died with a request
 * @param keepMillis how long strikes count after the last one
 * @param mostFingerprints struck requests that are remembered
 */
public record QuarantineSettings(int strikesToQuarantine, long keepMillis, int mostFingerprints) {

    /** Two strikes, ten minutes. */
    public static final QuarantineSettings DEFAULTS = new QuarantineSettings(2, 600_000, 4_096);

    public QuarantineSettings {
        if (strikesToQuarantine < 1 || keepMillis < 1 || mostFingerprints < 1) {
            throw new IllegalArgumentException(
                    "quarantine settings must be above 0: strikes "
                            + strikesToQuarantine
                            + ", keep "
                            + keepMillis
                            + " ms, fingerprints "
                            + mostFingerprints);
        }
    }
}
