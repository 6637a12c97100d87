package org.cyclamenpaddle.fleet.recovery;

/**
 * Graces of {@link AttemptReconciler}.
 *
 * @param orphanGraceMillis how long an attempt of this very host may be on the engine without this
 *     host standing for it; covers a list that was read before the attempt ended or began
 * @param unknownHostGraceMillis how long an attempt is left whose host was never heard of
 */
public record RecoverySettings(long orphanGraceMillis, long unknownHostGraceMillis) {

    /** Settings that free memory within two seconds, as {@link AttemptReconciler} works out. */
    public static final RecoverySettings DEFAULTS = new RecoverySettings(500, 10_000);

    public RecoverySettings {
        if (orphanGraceMillis < 0 || unknownHostGraceMillis < 0) {
            throw new IllegalArgumentException(
                    "graces must not be negative: "
                            + orphanGraceMillis
                            + " ms, "
                            + unknownHostGraceMillis
                            + " ms");
        }
    }
}
