package org.cyclamenpaddle.standins.load;

import static org.testng.Assert.assertEquals;

import java.util.stream.IntStream;
import org.cyclamenpaddle.core.text.PromptText;
import org.cyclamenpaddle.standins.engine.CompletionText;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class CompletionVerifierTest {

    private static final String PROMPT = "which lot";
    private static final int TOKENS = 30;

    private CompletionVerifier mVerifier;

    @BeforeMethod
    public void reset() {
        mVerifier = new CompletionVerifier(PROMPT, 0, TOKENS);
    }

    @Test
    public void completeResponseInOrderIsWhole() {
        tokens(PROMPT, 0, TOKENS);
        mVerifier.onDone();
        assertEquals(mVerifier.outcome(), CallOutcome.WHOLE);
        assertEquals(mVerifier.tokens(), TOKENS);
    }

    @Test
    public void completionOfAnotherPromptIsWrong() {
        tokens("another lot", 0, TOKENS);
        mVerifier.onDone();
        assertEquals(mVerifier.outcome(), CallOutcome.WRONG);
    }

    @Test
    public void missingTokenIsWrong() {
        tokens(PROMPT, 0, 10);
        tokens(PROMPT, firstUnlike(10), TOKENS);
        mVerifier.onDone();
        assertEquals(mVerifier.outcome(), CallOutcome.WRONG);
    }

    @Test
    public void shortCompletionMarkedDoneIsWrong() {
        tokens(PROMPT, 0, TOKENS - 1);
        mVerifier.onDone();
        assertEquals(mVerifier.outcome(), CallOutcome.WRONG);
    }

    @Test
    public void completionWithoutDoneIsCutOff() {
        tokens(PROMPT, 0, TOKENS);
        assertEquals(mVerifier.outcome(), CallOutcome.CUT_OFF);
    }

    @Test
    public void repeatedTokenOrEndIsADuplicate() {
        int repeated =
                IntStream.range(1, TOKENS).filter(i -> unlike(i, i - 1)).findFirst().orElse(0);
        tokens(PROMPT, 0, repeated);
        tokens(PROMPT, repeated - 1, TOKENS);
        mVerifier.onDone();
        assertEquals(mVerifier.outcome(), CallOutcome.DUPLICATED);
        reset();
        tokens(PROMPT, 0, TOKENS);
        mVerifier.onDone();
        mVerifier.onDone();
        assertEquals(mVerifier.outcome(), CallOutcome.DUPLICATED);
    }

    private void tokens(String prompt, int from, int to) {
        long hash = PromptText.hash(prompt);
        IntStream.range(from, to).forEach(i -> mVerifier.onText(CompletionText.token(hash, i)));
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
