package org.cyclamenpaddle.standins.load;

import static org.testng.Assert.assertEquals;

import java.util.stream.IntStream;
import org.cyclamenpaddle.core.text.PromptText;
import org.cyclamenpaddle.standins.engine.CompletionText;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class AnswerCheckTest {

    private static final String PROMPT = "which lot";
    private static final int TOKENS = 30;

    private AnswerCheck mCheck;

    @BeforeMethod
    public void reset() {
        mCheck = new AnswerCheck(PROMPT, 0, TOKENS);
    }

    @Test
    public void wholeAnswerInOrderIsWhole() {
        tokens(PROMPT, 0, TOKENS);
        mCheck.done();
        assertEquals(mCheck.outcome(), CallOutcome.WHOLE);
        assertEquals(mCheck.tokens(), TOKENS);
    }

    @Test
    public void answerToAnotherPromptIsWrong() {
        tokens("another lot", 0, TOKENS);
        mCheck.done();
        assertEquals(mCheck.outcome(), CallOutcome.WRONG);
    }

    @Test
    public void missingTokenIsWrong() {
        tokens(PROMPT, 0, 10);
        tokens(PROMPT, firstUnlike(10), TOKENS);
        mCheck.done();
        assertEquals(mCheck.outcome(), CallOutcome.WRONG);
    }

    @Test
    public void shortAnswerSaidToBeWholeIsWrong() {
        tokens(PROMPT, 0, TOKENS - 1);
        mCheck.done();
        assertEquals(mCheck.outcome(), CallOutcome.WRONG);
    }

    @Test
    public void answerWithoutItsEndIsCutOff() {
        tokens(PROMPT, 0, TOKENS);
        assertEquals(mCheck.outcome(), CallOutcome.CUT_OFF);
    }

    @Test
    public void repeatedTokenOrEndIsADuplicate() {
        int repeated =
                IntStream.range(1, TOKENS).filter(i -> unlike(i, i - 1)).findFirst().orElse(0);
        tokens(PROMPT, 0, repeated);
        tokens(PROMPT, repeated - 1, TOKENS);
        mCheck.done();
        assertEquals(mCheck.outcome(), CallOutcome.DUPLICATED);
        reset();
        tokens(PROMPT, 0, TOKENS);
        mCheck.done();
        mCheck.done();
        assertEquals(mCheck.outcome(), CallOutcome.DUPLICATED);
    }

    private void tokens(String prompt, int from, int to) {
        long hash = PromptText.hash(prompt);
        IntStream.range(from, to).forEach(i -> mCheck.text(CompletionText.token(hash, i)));
    }

    /** Returns the first index after {@code index} whose token differs from those around it. */
    private static int firstUnlike(int index) {
        return IntStream.range(index + 1, TOKENS)
                .filter(i -> unlike(i, index) && unlike(i, index - 1))
                .findFirst()
                .orElseThrow();
    }

    private static boolean unlike(int first, int second) {
        long hash = PromptText.hash(PROMPT);
        return !CompletionText.token(hash, first).equals(CompletionText.token(hash, second));
    }
}
