package org.cyclamenpaddle.routing.memory;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests how output lengths are learned. */
public class OutputLengthsTest {

    @Test
    public void expectedLengthsCountAsExactUntilMinSamples() {
        OutputLengths lengths = new OutputLengths();
        assertEquals(lengths.survivalGivenExpected(100).survival(99), 1.0);
        assertEquals(lengths.survivalGivenExpected(100).survival(100), 0.0);
    }

    /** Callers expect half of the actual length: expectations are corrected from then on. */
    @Test
    public void expectedLengthsAreCorrectedByActualLengths() {
        OutputLengths lengths = new OutputLengths();
        for (int i = 0; i < OutputLengths.MIN_SAMPLES; i++) {
            lengths.started(new NewGeneration(1_000, 100));
            lengths.ended(100, 200);
        }
        assertEquals(lengths.survivalGivenExpected(300).survival(599), 1.0);
        assertEquals(lengths.survivalGivenExpected(300).survival(600), 0.0);
        assertEquals(lengths.overallSurvival().survival(199), 1.0);
        assertEquals(lengths.longestTokens(), 200);
        assertEquals(lengths.average(), new NewGeneration(1_000, 200));
    }

    @Test
    public void oldValuesAreDropped() {
        RecentValues values = new RecentValues(3);
        values.add(9);
        values.add(1);
        values.add(2);
        values.add(3);
        assertEquals(values.quantile(1), 3);
        assertEquals(values.mean(), 2.0);
        assertEquals(values.survival(1), 2.0 / 3);
        assertEquals(values.survival(0), 1.0);
        assertTrue(values.survival(3) == 0);
    }
}
