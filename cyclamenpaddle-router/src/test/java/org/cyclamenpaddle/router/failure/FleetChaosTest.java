package org.cyclamenpaddle.router.failure;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cyclamenpaddle.router.fixture.TestFleet;
import org.cyclamenpaddle.standins.engine.EngineSettings;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that the guarantees to callers hold while many faults occur at once. */
public class FleetChaosTest {

    private static final long SEED = Long.getLong("cyclamenpaddle.chaos.seed", 7);
    private static final long SECONDS = Long.getLong("cyclamenpaddle.chaos.seconds", 12);

    private TestFleet mFleet;

    @BeforeMethod
    public void start() {
        mFleet =
                new TestFleet()
                        .engines(ChaosFault.PREFILL, ChaosFault.DECODE, EngineSettings.DEFAULT)
                        .plainServices(ChaosFault.PLAIN)
                        .hosts(3)
                        .configure();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mFleet.close();
    }

    // Engines crash, go silent, lose cancels and stall; the platform becomes unavailable and loses
    // responses; services lose responses; callers stream and book throughout. Every response that
    // finishes is complete, no key runs twice, "not run" is true, and at the end no memory is held.
    @Test
    public void guaranteesHoldUnderSeededFaults() {
        FleetChaosRun run = new FleetChaosRun(mFleet, SEED, TimeUnit.SECONDS.toMillis(SECONDS));

        run.run();

        assertEquals(run.violations(), List.of(), run + ", violations: " + run.violations());
        assertTrue(run.completeResponses() > 0 && run.booked() > 0, run.toString());
    }
}
