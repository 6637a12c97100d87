package org.cyclamenpaddle.routing.request;

import java.util.ArrayList;
import java.util.List;

/**
 * The tokens sent so far, in order, each once.
 *
 * <p>Streams that were resumed, and engines that took a request over, may repeat or skip tokens.
 * Sent as they come they would garble the caller's answer; only the next index is passed on.
 */
final class AnswerRelay {

    /** What to do with a token. */
    enum Verdict {
        NEXT,
        DUPLICATE,
        GAP
    }

    private final List<String> mSent = new ArrayList<>();

    /** Takes a token if it is the next one, and says what it was. */
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
