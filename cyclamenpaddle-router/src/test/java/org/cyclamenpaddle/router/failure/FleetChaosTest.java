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

/** Promises to callers hold while many faults come at once. */
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

    // Engines crash, go silent, lose cancels and stall; the platform goes away and loses answers;
    // services lose answers; callers stream and book all the while. Every answer that finishes is
    // whole, no key runs twice, "not run" is true, and in the end nothing is held for anyone.
    @Test
    public void promisesHoldUnderSeededFaults() {
        FleetChaosRun run = new FleetChaosRun(mFleet, SEED, TimeUnit.SECONDS.toMillis(SECONDS));

        run.run();

        assertEquals(run.wrong(), List.of(), run + ", wrong: " + run.wrong());
        assertTrue(run.whole() > 0 && run.booked() > 0, run.toString());
    }
}
