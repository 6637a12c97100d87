package org.cyclamenpaddle.routing.request;

import java.util.ArrayList;
import java.util.List;

/**
 * Passes tokens to the caller in order, each exactly once.
 *
 * <p>Resumed streams, and engines that take over a request, may repeat or skip tokens. Passed on as
 * received they would corrupt the caller's response; only the next index is passed on.
 */
final class TokenSequencer {

    /** Result of offering a token. */
    enum Verdict {
        NEXT,
        DUPLICATE,
        GAP
    }

    private final List<String> mSent = new ArrayList<>();

    /**
     * Accepts a token if it is the next one, and returns how it relates to the tokens sent so far.
     */
    Verdict offer(int index, String text) {
        if (index < mSent.size()) {
            return Verdict.DUPLICATE;
        }
        if (index > mSent.size()) {
            return Verdict.GAP;
        }
        mSent.add(text);
        return Verdict.NEXT;
    }

    int nextIndex() {
        return mSent.size();
    }

    List<String> sent() {
        return List.copyOf(mSent);
    }
}
