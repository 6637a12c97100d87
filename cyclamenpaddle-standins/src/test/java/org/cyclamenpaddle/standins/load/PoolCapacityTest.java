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
        // A step with a full batch takes 40 ms, so a completion of 50 tokens occupies one of 22
        // slots for 2 s.
        assertEquals(PoolCapacity.perSecond(engine, 2, 50), 11.0, 1e-9);
    }
}
