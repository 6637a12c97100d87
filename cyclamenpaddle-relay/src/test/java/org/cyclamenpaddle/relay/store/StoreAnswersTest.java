package org.cyclamenpaddle.relay.store;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.stream.LongStream;
import org.testng.annotations.Test;

/** Tests which answers of the store show that it was available at a time. */
public class StoreAnswersTest {

    private final StoreAnswers mAnswers = new StoreAnswers();

    @Test
    public void onlyCallsWithinTheTimeCount() {
        mAnswers.recordFailure();
        mAnswers.record(1_000, 1_010);
        assertTrue(mAnswers.answered(1_000, 1_010));
        assertFalse(mAnswers.answered(1_001, 2_000), "the call was sent before");
        assertFalse(mAnswers.answered(0, 1_009), "the answer arrived later");
    }

    /** Failure: a store that went away after an answer counts as available since. */
    @Test
    public void failedCallVoidsTheAnswersBefore() {
        mAnswers.recordFailure();
        mAnswers.record(1_000, 1_010);
        mAnswers.recordFailure();
        assertFalse(mAnswers.answered(0, 2_000));
        mAnswers.record(3_000, 3_010);
        assertTrue(mAnswers.answered(0, 4_000));
    }

    /** Failure: the memory of a host that runs for days grows with each answer. */
    @Test
    public void oldestAnswersAreForgotten() {
        mAnswers.recordFailure();
        long last = 2 * StoreAnswers.MAX_ANSWERS * StoreAnswers.SPACING_MILLIS;
        LongStream.iterate(0, millis -> millis <= last, millis -> millis + 1)
                .forEach(millis -> mAnswers.record(millis, millis));
        long kept = last - (StoreAnswers.MAX_ANSWERS - 1) * StoreAnswers.SPACING_MILLIS;
        assertTrue(mAnswers.answered(kept, kept));
        assertFalse(mAnswers.answered(0, kept - 1));
    }
}
