package org.cyclamenpaddle.standins.load;

import org.cyclamenpaddle.core.text.PromptText;
import org.cyclamenpaddle.standins.engine.CompletionText;

/** Compares a streamed answer with the one that engines give to its prompt. */
final class AnswerCheck {

    private static final String TOKEN_END = "(?<= )";

    private final long mHash;
    private final int mLength;
    private int mTokens;
    private boolean mWrong;
    private boolean mDuplicated;
    private boolean mDone;

    /**
     * Creates a check.
     *
     * @param prompt the prompt
     * @param meanTokens mean answer length that the engines are set to; 0 if none stops by itself
     * @param maxTokens most tokens asked for
     */
    AnswerCheck(String prompt, int meanTokens, int maxTokens) {
        mHash = PromptText.hash(prompt);
        mLength = Math.min(maxTokens, CompletionText.length(mHash, meanTokens));
    }

    /** Takes the next piece of text. */
    void text(String text) {
        if (text.isEmpty()) {
            return;
        }
        mDuplicated |= mDone;
        for (String token : text.split(TOKEN_END)) {
            token(token);
        }
    }

    /** Takes the mark that the answer is whole. */
    void done() {
        mDuplicated |= mDone;
        mDone = true;
    }

    int tokens() {
        return mTokens;
    }

    /** Returns how the call ended, if its connection ended properly now. */
    CallOutcome outcome() {
        if (mDuplicated) {
            return CallOutcome.DUPLICATED;
        }
        if (mWrong || mDone && mTokens != mLength) {
            return CallOutcome.WRONG;
        }
        return mDone ? CallOutcome.WHOLE : CallOutcome.CUT_OFF;
    }

    /** Only the first deviation tells its kind; what follows it is shifted. */
    private void token(String token) {
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
