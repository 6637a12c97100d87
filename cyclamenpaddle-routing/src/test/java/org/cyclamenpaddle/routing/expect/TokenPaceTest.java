package org.cyclamenpaddle.routing.expect;

import static org.cyclamenpaddle.routing.Fixtures.id;
import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

public class TokenPaceTest {

    private static TokenIntervalModel learned(double alone, double perRequest) {
        TokenIntervalModel pace = new TokenIntervalModel();
        for (int i = 0; i < 200; i++) {
            int batch = 1 + i % 20;
            pace.observed(id(1), batch, alone + perRequest * batch);
        }
        return pace;
    }

    /**
     * Callers get their tokens at the promised pace. An engine is slower than the target when all
     * its twenty slots are in use; filling it would make all twenty streams late.
     */
    @Test
    public void findsLargestBatchWithinTarget() {
        assertEquals(learned(10, 2).maxBatchWithin(id(1), 44, 20), 16);
        assertEquals(learned(10, 1).maxBatchWithin(id(1), 44, 20), 20);
        assertEquals(learned(100, 2).maxBatchWithin(id(1), 44, 20), 1);
    }

    @Test
    public void allSlotsUntilEnoughIsKnown() {
        TokenIntervalModel pace = new TokenIntervalModel();
        pace.observed(id(1), 20, 500);
        assertEquals(pace.maxBatchWithin(id(1), 44, 20), 20);
        assertEquals(learned(10, 2).maxBatchWithin(id(2), 44, 20), 20);
    }
}
