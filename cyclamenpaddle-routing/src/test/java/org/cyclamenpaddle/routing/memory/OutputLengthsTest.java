package org.cyclamenpaddle.routing.memory;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests what is learned of the lengths of answers. */
public class OutputLengthsTest {

    @Test
    public void expectationsCountAsExactUntilEnoughHaveEnded() {
        OutputLengths lengths = new OutputLengths();
        assertEquals(lengths.expecting(100).outlives(99), 1.0);
        assertEquals(lengths.expecting(100).outlives(100), 0.0);
    }

    /** Callers expect half of what their generations make: that is what counts from then on. */
    @Test
    public void expectationsAreCorrectedByWhatGenerationsMade() {
        OutputLengths lengths = new OutputLengths();
        for (int i = 0; i < OutputLengths.ENOUGH; i++) {
            lengths.started(new NewGeneration(1_000, 100));
            lengths.ended(100, 200);
        }
        assertEquals(lengths.expecting(300).outlives(599), 1.0);
        assertEquals(lengths.expecting(300).outlives(600), 0.0);
        assertEquals(lengths.any().outlives(199), 1.0);
        assertEquals(lengths.longest(), 200);
        assertEquals(lengths.average(), new NewGeneration(1_000, 200));
    }

    @Test
    public void oldValuesAreForgotten() {
        RecentValues values = new RecentValues(3);
        values.add(9);
        values.add(1);
        values.add(2);
        values.add(3);
        assertEquals(values.quantile(1), 3);
        assertEquals(values.mean(), 2.0);
        assertEquals(values.outlives(1), 2.0 / 3);
        assertEquals(values.outlives(0), 1.0);
        assertTrue(values.outlives(3) == 0);
    }
}
