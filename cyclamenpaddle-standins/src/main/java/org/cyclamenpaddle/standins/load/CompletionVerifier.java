package org.cyclamenpaddle.standins.load;

import org.cyclamenpaddle.core.text.PromptText;
import org.cyclamenpaddle.standins.engine.CompletionText;

/** Verifies a streamed completion against the one that engines generate for its prompt. */
final class CompletionVerifier {

    private static final String TOKEN_END = "(?<= )";

    private final long mHash;
    private final int mLength;
    private int mTokens;
    private boolean mWrong;
    private boolean mDuplicated;
    private boolean mDone;

    /**
     * Creates a verifier.
     *
     * @param prompt the prompt
     * @param meanTokens mean completion length configured on the engines; 0 if completions never
     *     stop before their limit
     * @param maxTokens maximum number of tokens requested
     */
    CompletionVerifier(String prompt, int meanTokens, int maxTokens) {
        mHash = PromptText.hash(prompt);
        mLength = Math.min(maxTokens, CompletionText.length(mHash, meanTokens));
    }

    /** Verifies the next chunk of text. */
    void onText(String text) {
        if (text.isEmpty()) {
            return;
        }
        mDuplicated |= mDone;
        for (String token : text.split(TOKEN_END)) {
            onToken(token);
        }
    }

    /** Records the marker that the completion is finished. */
    void onDone() {
        mDuplicated |= mDone;
        mDone = true;
    }

    int tokens() {
        return mTokens;
    }

    /** Returns the outcome of the call, assuming that its connection has closed normally. */
    CallOutcome outcome() {
        if (mDuplicated) {
            return CallOutcome.DUPLICATED;
        }
        if (mWrong || mDone && mTokens != mLength) {
            return CallOutcome.WRONG;
        }
        return mDone ? CallOutcome.WHOLE : CallOutcome.CUT_OFF;
    }

    /** Classifies the first deviation only, since all later tokens are shifted by it. */
    private void onToken(String token) {
        if (mWrong || mDuplicated) {
            return;
        }
        if (token.equals(CompletionText.token(mHash, mTokens))) {
            mTokens++;
        } else if (mTokens > 0 && token.equals(CompletionText.token(mHash, mTokens - 1))) {
            mDuplicated = true;
        } else {
            mWrong = true;
        }
    }
}
