package org.cyclamenpaddle.fleet.recovery;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Set;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.fleet.membership.IncarnationStatus;
import org.testng.annotations.Test;

public class AttemptReconcilerTest {

    private static final Incarnation SELF = new Incarnation(new HostId("self"), 1);
    private static final AttemptId OWN = AttemptId.of(SELF, 1);
    private static final AttemptId OTHER = AttemptId.of(new Incarnation(new HostId("other"), 1), 1);

    private final AttemptReconciler mReconciler =
            new AttemptReconciler(SELF, RecoverySettings.DEFAULTS);

    @Test
    public void cancelsAttemptsOfEndedIncarnationsButNotOfSuspects() {
        // An entry host goes silent, and its callers may still be streaming through it. While it is
        // only suspected its attempts continue; once its incarnation has ended the owner cancels
        // them.
        assertEquals(reconcile(OTHER, true, IncarnationStatus.RUNNING, 60_000), List.of());
        assertEquals(
                reconcile(OTHER, true, IncarnationStatus.ENDED, 60_001),
                List.of(new RecoveryEffect.Cancel(OTHER)));
        assertEquals(reconcile(OTHER, false, IncarnationStatus.ENDED, 60_002), List.of());
    }

    @Test
    public void cancelsAttemptsOfUnknownHostsAfterAGracePeriod() {
        assertEquals(reconcile(OTHER, true, IncarnationStatus.UNKNOWN, 0), List.of());
        assertEquals(reconcile(OTHER, true, IncarnationStatus.UNKNOWN, 9_999), List.of());
        assertEquals(
                reconcile(OTHER, true, IncarnationStatus.UNKNOWN, 10_000),
                List.of(new RecoveryEffect.Cancel(OTHER)));
    }

    @Test
    public void cancelsOwnOrphanedAttemptAfterAGracePeriod() {
        // The engine's list was read just before this host began to track the attempt. Cancelling
        // immediately would break the caller's stream; the grace period restarts each time the
        // attempt is found to be tracked.
        assertEquals(reconcile(OWN, false, IncarnationStatus.RUNNING, 0), List.of());
        assertEquals(
                mReconciler.reconcile(
                        list(OWN),
                        false,
                        Set.of(OWN),
                        incarnation -> IncarnationStatus.RUNNING,
                        400),
                List.of());
        assertEquals(reconcile(OWN, false, IncarnationStatus.RUNNING, 600), List.of());
        assertEquals(
                reconcile(OWN, false, IncarnationStatus.RUNNING, 1_100),
                List.of(new RecoveryEffect.Cancel(OWN)));
    }

    @Test
    public void releasesGrantsOfEndedIncarnations() {
        assertEquals(
                mReconciler.releaseGrants(
                        Set.of(OWN, OTHER),
                        incarnation ->
                                incarnation.equals(SELF)
                                        ? IncarnationStatus.RUNNING
                                        : IncarnationStatus.ENDED),
                List.of(new RecoveryEffect.ReleaseGrant(OTHER)));
    }

    private List<RecoveryEffect> reconcile(
            AttemptId attempt, boolean owner, IncarnationStatus status, long nowMillis) {
        return mReconciler.reconcile(
                list(attempt), owner, Set.of(), incarnation -> status, nowMillis);
    }

    private static List<EngineAttempt> list(AttemptId attempt) {
        return List.of(new EngineAttempt(attempt, 3, false));
    }
}
