package org.cyclamenpaddle.fleet.drain;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.cyclamenpaddle.core.id.BackendId;
import org.testng.annotations.Test;

public class StopSequenceTest {

    private static final BackendId BACKEND = new BackendId("engine-1");

    @Test
    public void repeatedSignalAbortsNoRequest() {
        // An operator stops a host, a long stream delays the stop, and the operator resends the
        // signal. The stream must still complete.
        StopSequence stop = new StopSequence(new StopSettings(100, 50));
        stop.onSignal(0);
        assertTrue(stop.stage().takesWork() && !stop.stage().ready());
        stop.tick(1, 100);
        assertEquals(stop.stage(), StopStage.DRAINING);

        assertEquals(stop.onSignal(5_000), List.of());
        assertEquals(stop.tick(1, 60_000), List.of());

        assertEquals(stop.tick(0, 60_001), List.of(new StopEffect.Entered(StopStage.HANDING_OVER)));
        assertFalse(stop.stage().ownsLedgers());
        assertEquals(stop.tick(0, 60_050), List.of());
        assertEquals(stop.tick(0, 60_051), List.of(new StopEffect.Entered(StopStage.STOPPED)));
    }

    @Test
    public void backendIsDrainedOnlyWithoutGrantsAndAttempts() {
        // A new owner's ledger is empty, but the engine still runs an attempt granted by the former
        // owner. Changing the engine's role now would abort that stream.
        BackendDrain drain = new BackendDrain(BACKEND);

        assertEquals(drain.update(true, 0, 1), List.of(new DrainEffect.CloseLedger(BACKEND)));
        assertFalse(drain.takesWork());
        assertEquals(drain.update(true, 0, 1), List.of());
        assertEquals(drain.update(true, 1, 0), List.of());
        assertEquals(drain.update(true, 0, 0), List.of(new DrainEffect.Drained(BACKEND)));
        assertEquals(drain.update(false, 0, 0), List.of(new DrainEffect.OpenLedger(BACKEND)));
    }
}
