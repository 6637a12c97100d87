package org.cyclamenpaddle.routing.grant;

/**
 * Settings of a {@link GrantLedger}.
 *
 * @param startGraceMillis how long after its start a promise may stay unseen on the engine
 * @param overdueMillis how much longer a prefill past its expected end is expected to take
 * @param safetyDeviations standard deviations of the expected use of a decode engine that a promise
 *     leaves room for while slots are scarce
 * @param unknownHoldMillis expected rest of an attempt that only the engine's list tells of
 * @param recoveryReserve share of the slots kept free for unknown promises while recovering
 * @param maxEndedAttempts ended attempts that are remembered
 */
public record LedgerSettings(
        long startGraceMillis,
        long overdueMillis,
        double safetyDeviations,
        long unknownHoldMillis,
        double recoveryReserve,
        int maxEndedAttempts) {

    /** Values for engines that report about once a second. */
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
                            + ", ended kept "
                            + maxEndedAttempts);
        }
        if (safetyDeviations < 0) {
            throw new IllegalArgumentException(
                    "deviations " + safetyDeviations + " must not be negative");
        }
        if (recoveryReserve < 0 || recoveryReserve > 1) {
            throw new IllegalArgumentException(
                    "recovery reserve " + recoveryReserve + " must be from 0 to 1");
        }
    }
}
