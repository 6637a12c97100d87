package org.cyclamenpaddle.relay.backend;

import org.cyclamenpaddle.routing.memory.RecentValues;

/**
 * How fast prefill engines read prompts, learned from how long their readings took.
 *
 * <p>Most readings wait behind others; the fastest of late shows the engines' own speed. Not
 * thread-safe.
 */
final class PrefillThroughput {

    /** Tokens that are read in a millisecond, until a reading was seen. */
    private static final double AT_FIRST = 20;

    /** Readings that are remembered. */
    private static final int WINDOW = 64;

    private static final double PER_MILLE = 1_000;

    private final RecentValues mTokensPerSecond = new RecentValues(WINDOW);

    /** Takes in a reading. */
    void read(long tokens, long millis) {
        if (tokens > 0) {
            mTokensPerSecond.add(Math.round(PER_MILLE * tokens / Math.max(1, millis)));
        }
    }

    /** Returns the tokens that a prefill engine reads in a millisecond. */
    double tokensPerMilli() {
        return mTokensPerSecond.count() == 0
                ? AT_FIRST
                : Math.max(1, mTokensPerSecond.quantile(1)) / PER_MILLE;
    }
}
