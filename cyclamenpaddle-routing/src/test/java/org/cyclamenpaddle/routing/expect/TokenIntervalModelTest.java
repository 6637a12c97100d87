package org.cyclamenpaddle.routing.expect;

import static org.cyclamenpaddle.routing.Fixtures.id;
import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

public class TokenIntervalModelTest {

    private static TokenIntervalModel learned(double baseMillis, double millisPerRequest) {
        TokenIntervalModel model = new TokenIntervalModel();
        for (int i = 0; i < 200; i++) {
            int batch = 1 + i % 20;
            model.observed(id(1), batch, baseMillis + millisPerRequest * batch);
        }
        return model;
    }

    /**
     * An engine exceeds the target for the time between tokens when all its twenty slots are in
     * use; filling it would make all twenty streams late.
     */
    @Test
    public void findsLargestBatchWithinTarget() {
        assertEquals(learned(10, 2).maxBatchWithin(id(1), 44, 20), 16);
        assertEquals(learned(10, 1).maxBatchWithin(id(1), 44, 20), 20);
        assertEquals(learned(100, 2).maxBatchWithin(id(1), 44, 20), 1);
    }

    @Test
    public void allSlotsUntilEnoughSamples() {
        TokenIntervalModel model = new TokenIntervalModel();
        model.observed(id(1), 20, 500);
        assertEquals(model.maxBatchWithin(id(1), 44, 20), 20);
        assertEquals(learned(10, 2).maxBatchWithin(id(2), 44, 20), 20);
    }
}
