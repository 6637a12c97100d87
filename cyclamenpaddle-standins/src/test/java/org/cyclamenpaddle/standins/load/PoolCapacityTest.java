package org.cyclamenpaddle.standins.load;

import static org.testng.Assert.assertEquals;

import org.cyclamenpaddle.standins.engine.EngineSettings;
import org.testng.annotations.Test;

public class PoolCapacityTest {

    @Test
    public void capacityIsThatOfFullBatches() {
        EngineSettings engine =
                EngineSettings.fromJson(
                        "{\"slots\": 11, \"tokenMillis\": 20, \"batchSlope\": 0.1}");
        // A full batch steps in 40 ms, so an answer of 50 tokens takes 2 s of one of 22 slots.
        assertEquals(PoolCapacity.perSecond(engine, 2, 50), 11.0, 1e-9);
    }
}
