package org.cyclamenpaddle.relay.backend;

import org.cyclamenpaddle.routing.memory.RecentValues;

/**
 * Estimates the prefill throughput of a service's prefill engines from the durations of completed
 * prefills.
 *
 * <p>Most prefills include a wait in the engine's queue; the fastest recent one shows the
 * throughput of the engine itself. Not thread-safe.
 */
final class PrefillThroughput {

    /** Estimate until the first prefill has been measured, in tokens per millisecond. */
    private static final double INITIAL_TOKENS_PER_MILLI = 20;

    /** Number of recent prefills in the sample window. */
    private static final int WINDOW_SAMPLES = 64;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final RecentValues mTokensPerSecond = new RecentValues(WINDOW_SAMPLES);

    /** Adds a completed prefill. */
    void add(long tokens, long millis) {
        if (tokens > 0) {
            mTokensPerSecond.add(Math.round(MILLIS_PER_SECOND * tokens / Math.max(1, millis)));
        }
    }

    /** Returns the throughput of one prefill engine, in tokens per millisecond. */
    double tokensPerMilli() {
        return mTokensPerSecond.count() == 0
                ? INITIAL_TOKENS_PER_MILLI
                : Math.max(1, mTokensPerSecond.quantile(1)) / MILLIS_PER_SECOND;
    }
}
