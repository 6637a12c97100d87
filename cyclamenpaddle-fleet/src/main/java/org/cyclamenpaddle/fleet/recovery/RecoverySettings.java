package org.cyclamenpaddle.fleet.recovery;

/**
 * Grace periods of {@link AttemptReconciler}.
 *
 * @param orphanGraceMillis how long an attempt of this host may be on the engine without being
 *     tracked by this host; covers a list that was read before the attempt ended or began
 * @param unknownHostGraceMillis how long an attempt of an unknown host is not cancelled
 */
public record RecoverySettings(long orphanGraceMillis, long unknownHostGraceMillis) {

    /**
     * Default settings, which free memory within two seconds as explained in {@link
     * AttemptReconciler}.
     */
    public static final RecoverySettings DEFAULTS = new RecoverySettings(500, 10_000);

    public RecoverySettings {
        if (orphanGraceMillis < 0 || unknownHostGraceMillis < 0) {
            throw new IllegalArgumentException(
                    "grace periods must not be negative: "
                            + orphanGraceMillis
                            + " ms, "
                            + unknownHostGraceMillis
                            + " ms");
        }
    }
}
