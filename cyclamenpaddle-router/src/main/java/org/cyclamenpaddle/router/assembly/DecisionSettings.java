package org.cyclamenpaddle.router.assembly;

import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.HostState;
import org.cyclamenpaddle.fleet.claim.ClaimShardSettings;
import org.cyclamenpaddle.router.request.RequestAccounting;
import org.cyclamenpaddle.router.settings.RouterSettings;
import org.cyclamenpaddle.routing.expect.OutputLengthEstimator;
import org.cyclamenpaddle.routing.limit.ConcurrencyLimit;
import org.cyclamenpaddle.routing.quarantine.QuarantineSettings;
import org.cyclamenpaddle.routing.queue.TeamShares;
import org.cyclamenpaddle.routing.request.RequestSettings;
import org.cyclamenpaddle.routing.retry.RetryBudget;

/** Derives the settings of each policy from the settings of the host and fixed defaults. */
final class DecisionSettings {

    private static final long MILLIS_PER_HOUR = 3_600_000;
    private static final long INTER_DOMAIN_LATENCY_MILLIS = 2;
    private static final double LENGTH_QUANTILE = 0.5;
    private static final int MAX_LENGTH_SOURCES = 4_096;
    private static final double SCARCITY_THRESHOLD = 0.8;

    private final RouterSettings mSettings;

    DecisionSettings(RouterSettings settings) {
        mSettings = settings;
    }

    QuarantineSettings quarantine() {
        QuarantineSettings defaults = QuarantineSettings.DEFAULTS;
        return new QuarantineSettings(
                defaults.strikesToQuarantine(),
                mSettings.limits().quarantineMillis(),
                defaults.maxFingerprints());
    }

    RetryBudget.Settings retries() {
        RetryBudget.Settings defaults = RetryBudget.Settings.DEFAULTS;
        return new RetryBudget.Settings(
                mSettings.limits().retryShare(), defaults.minPerSecond(), defaults.capacity());
    }

    RequestSettings requests() {
        RequestSettings defaults = RequestSettings.defaults();
        return new RequestSettings(
                defaults.grantMillis(),
                defaults.prefillSlackMillis(),
                mSettings.timing().transferMillis(),
                mSettings.timing().streamSilenceMillis(),
                defaults.recoveryMillis(),
                defaults.maxDecodeChoices(),
                defaults.maxPlacements());
    }

    long retentionMillis() {
        return mSettings.bookings().retentionHours() * MILLIS_PER_HOUR;
    }

    ClaimShardSettings claims() {
        ClaimShardSettings defaults = ClaimShardSettings.DEFAULTS;
        return new ClaimShardSettings(
                mSettings.bookings().shards(),
                retentionMillis(),
                defaults.maxCharacters(),
                defaults.retryMillis(),
                defaults.flushMillis());
    }

    RequestAccounting accounting() {
        return new RequestAccounting(
                new OutputLengthEstimator(LENGTH_QUANTILE, MAX_LENGTH_SOURCES),
                new ConcurrencyLimit(
                        new ConcurrencyLimit.Settings(
                                mSettings.limits().concurrentRequests(), SCARCITY_THRESHOLD),
                        TeamShares.EQUAL),
                mSettings.routing().expectedOutputTokens());
    }

    /** Returns the record that this host announces for itself when it starts. */
    HostRecord self(Incarnation incarnation) {
        RouterSettings.Host host = mSettings.host();
        return new HostRecord(
                incarnation,
                host.failureDomain(),
                host.address(),
                host.peerPort(),
                host.httpPort(),
                HostState.ALIVE);
    }

    /** Returns the assumed one-way network latency between failure domains, in milliseconds. */
    static long oneWayLatencyMillis(FailureDomain from, FailureDomain to) {
        return from.equals(to) ? 0 : INTER_DOMAIN_LATENCY_MILLIS;
    }
}
