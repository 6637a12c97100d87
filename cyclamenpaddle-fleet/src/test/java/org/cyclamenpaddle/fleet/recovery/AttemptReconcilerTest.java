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
    public void cancelsForAnEndedLifeAtOnceAndForASuspectNever() {
        // An entry host goes silent, and its callers may still be streaming through it. While it is
        // only suspected its attempts go on; once its life has ended the owner frees the engine.
        assertEquals(reconcile(OTHER, true, IncarnationStatus.RUNNING, 60_000), List.of());
        assertEquals(
                reconcile(OTHER, true, IncarnationStatus.ENDED, 60_001),
                List.of(new RecoveryEffect.Cancel(OTHER)));
        assertEquals(reconcile(OTHER, false, IncarnationStatus.ENDED, 60_002), List.of());
    }

    @Test
    public void givesAHostNeverHeardOfTime() {
        assertEquals(reconcile(OTHER, true, IncarnationStatus.UNKNOWN, 0), List.of());
        assertEquals(reconcile(OTHER, true, IncarnationStatus.UNKNOWN, 9_999), List.of());
        assertEquals(
                reconcile(OTHER, true, IncarnationStatus.UNKNOWN, 10_000),
                List.of(new RecoveryEffect.Cancel(OTHER)));
    }

    @Test
    public void cancelsItsOwnLostAttemptAfterAGrace() {
        // The engine's list was read just before this host began to stand for the attempt.
        // Cancelling at once would break the caller's stream; the doubt starts afresh each time
        // the attempt is seen to be stood for.
        assertEquals(reconcile(OWN, false, IncarnationStatus.RUNNING, 0), List.of());
        assertEquals(
                mReconciler.reconcile(
                        list(OWN), false, Set.of(OWN), life -> IncarnationStatus.RUNNING, 400),
                List.of());
        assertEquals(reconcile(OWN, false, IncarnationStatus.RUNNING, 600), List.of());
        assertEquals(
                reconcile(OWN, false, IncarnationStatus.RUNNING, 1_100),
                List.of(new RecoveryEffect.Cancel(OWN)));
    }

    @Test
    public void freesGrantsOfEndedLives() {
        assertEquals(
                mReconciler.releaseGrants(
                        Set.of(OWN, OTHER),
                        life ->
                                life.equals(SELF)
                                        ? IncarnationStatus.RUNNING
                                        : IncarnationStatus.ENDED),
                List.of(new RecoveryEffect.ReleaseGrant(OTHER)));
    }

    private List<RecoveryEffect> reconcile(
            AttemptId attempt, boolean owner, IncarnationStatus standing, long nowMillis) {
        return mReconciler.reconcile(list(attempt), owner, Set.of(), life -> standing, nowMillis);
    }

    private static List<EngineAttempt> list(AttemptId attempt) {
        return List.of(new EngineAttempt(attempt, 3, false));
    }
}
