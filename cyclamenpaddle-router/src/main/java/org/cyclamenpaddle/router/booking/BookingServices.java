package org.cyclamenpaddle.router.booking;

import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.engine.plain.PlainServiceClient;
import org.cyclamenpaddle.fleet.claim.ClaimLines;
import org.cyclamenpaddle.fleet.claim.ClaimShardSettings;
import org.cyclamenpaddle.router.configuration.PlatformHealth;
import org.cyclamenpaddle.router.event.EventLog;
import org.cyclamenpaddle.router.metric.RouterMetrics;
import org.cyclamenpaddle.router.request.StepRecorder;
import org.cyclamenpaddle.router.worker.Workers;
import org.cyclamenpaddle.store.objects.ObjectStore;

/**
 * What every keyed call uses.
 *
 * @param self this host's incarnation
 * @param clock time in milliseconds
 * @param epochMillis wall-clock time, for retention alone
 * @param workers pool and timers
 * @param newAttempt makes attempt ids
 * @param claims keeps claims
 * @param selector chooses backend servers
 * @param client calls plain services
 * @param claimHolders asks the hosts that hold claims
 * @param metrics counters
 * @param log events
 * @param recorder keeps steps for operators
 */
public record BookingServices(
        Incarnation self,
        Clock clock,
        LongSupplier epochMillis,
        Workers workers,
        Supplier<AttemptId> newAttempt,
        ClaimStore claims,
        PlainBackendSelector selector,
        PlainServiceClient client,
        ClaimHolders claimHolders,
        RouterMetrics metrics,
        EventLog log,
        StepRecorder recorder) {

    /** Returns the keeper of claims over a platform. */
    public static ClaimStore claims(
            ObjectStore store,
            ClaimShardSettings settings,
            Workers workers,
            Clock clock,
            LongSupplier epochMillis,
            PlatformHealth health) {
        return new ClaimStore(
                store, new ClaimLines(), settings, workers, clock, epochMillis, health);
    }
}
