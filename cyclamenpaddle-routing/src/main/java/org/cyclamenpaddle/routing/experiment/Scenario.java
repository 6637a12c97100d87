package org.cyclamenpaddle.routing.experiment;

import org.cyclamenpaddle.routing.grant.LedgerSettings;

/**
 * One run of the model.
 *
 * @param strategy what decides
 * @param runners engines in all
 * @param load arrivals as a share of the decode capacity
 * @param seed of all random numbers
 * @param seconds virtual time with arrivals
 * @param hintMillis time between two hints from a server
 * @param steep whether the full batch is too slow for the per-token target
 * @param deviations see {@link LedgerSettings#safetyDeviations()}
 */
record Scenario(
        Strategy strategy,
        int runners,
        double load,
        long seed,
        int seconds,
        long hintMillis,
        boolean steep,
        double deviations) {

    static final int SLOTS = 20;
    private static final long TOKEN_MILLIS = 30;
    private static final long STEEP_TOKEN_MILLIS = 56;
    private static final double IDLE_SHARE = 0.7;
    private static final double STEEP_IDLE_SHARE = 0.3;
    static final long PREFILL_RATE = 28_000;
    static final long LINK_RATE = 4_000_000_000L;
    static final long FIRST_TOKEN_MILLIS = 580;
    static final long PER_TOKEN_MILLIS = 44;
    static final long HOP_MILLIS = 1;

    private static final double PREFILL_SHARE = 5.0 / 13;
    private static final double HOSTS_PER_RUNNER = 6.0 / 13;

    LedgerSettings ledgerSettings() {
        LedgerSettings usual = LedgerSettings.DEFAULTS;
        return new LedgerSettings(
                usual.startGraceMillis(),
                usual.overdueMillis(),
                deviations,
                usual.unknownHoldMillis(),
                usual.recoveryReserve(),
                usual.maxEndedAttempts());
    }

    /** Time between tokens at the full batch. */
    long tokenMillis() {
        return steep ? STEEP_TOKEN_MILLIS : TOKEN_MILLIS;
    }

    /** Time between tokens of a lone request, as a share of that at the full batch. */
    double idleShare() {
        return steep ? STEEP_IDLE_SHARE : IDLE_SHARE;
    }

    int prefillServers() {
        return (int) Math.round(runners * PREFILL_SHARE);
    }

    int decodeServers() {
        return runners - prefillServers();
    }

    int hosts() {
        return (int) Math.round(runners * HOSTS_PER_RUNNER);
    }
}
