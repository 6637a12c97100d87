package org.cyclamenpaddle.routing.grant;

/**
 * Settings of a {@link GrantLedger}.
 *
 * @param startGraceMillis time after its start within which a promise must be observed on the
 *     engine
 * @param overdueMillis expected further time of a prefill that is past its expected end
 * @param safetyDeviations standard deviations of the expected use of a decode engine that a promise
 *     leaves free while slots are scarce
 * @param unknownHoldMillis expected remaining time of an attempt known only from the engine's list
 * @param recoveryReserve share of the slots left free for unknown promises during recovery
 * @param maxEndedAttempts maximum number of ended attempts that are remembered
 */
public record LedgerSettings(
        long startGraceMillis,
        long overdueMillis,
        double safetyDeviations,
        long unknownHoldMillis,
        double recoveryReserve,
        int maxEndedAttempts) {

    /** Defaults for engines that report about once a second. */
    public static final LedgerSettings DEFAULTS =
            new LedgerSettings(1_500, 50, 1, 1_000, 0.25, 1_024);

    public LedgerSettings {
        if (startGraceMillis < 0
                || overdueMillis < 1
                || unknownHoldMillis < 1
                || maxEndedAttempts < 1) {
            throw new IllegalArgumentException(
                    "ledger times must be above 0: start grace "
                            + startGraceMillis
                            + ", overdue "
                            + overdueMillis
                            + ", unknown hold "
                            + unknownHoldMillis
                            + ", ended attempts "
                            + maxEndedAttempts);
        }
        if (safetyDeviations < 0) {
            throw new IllegalArgumentException(
                    "safety deviations " + safetyDeviations + " must not be negative");
        }
        if (recoveryReserve < 0 || recoveryReserve > 1) {
            throw new IllegalArgumentException(
                    "recovery reserve " + recoveryReserve + " must be from 0 to 1");
        }
    }
}
