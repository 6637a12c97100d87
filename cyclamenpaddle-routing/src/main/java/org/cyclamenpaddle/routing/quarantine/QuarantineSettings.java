package org.cyclamenpaddle.routing.quarantine;

/**
 * Settings of {@link Quarantine}.
 *
 * @param strikesToQuarantine distinct backend servers that must have died with a request
 * @param retentionMillis how long strikes count after the last one
 * @param maxFingerprints struck requests that are remembered
 */
public record QuarantineSettings(
        int strikesToQuarantine, long retentionMillis, int maxFingerprints) {

    /** Two strikes, ten minutes. */
    public static final QuarantineSettings DEFAULTS = new QuarantineSettings(2, 600_000, 4_096);

    public QuarantineSettings {
        if (strikesToQuarantine < 1 || retentionMillis < 1 || maxFingerprints < 1) {
            throw new IllegalArgumentException(
                    "quarantine settings must be above 0: strikes "
                            + strikesToQuarantine
                            + ", keep "
                            + retentionMillis
                            + " ms, fingerprints "
                            + maxFingerprints);
        }
    }
}
