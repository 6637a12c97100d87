package org.cyclamenpaddle.standins.load;

import org.HdrHistogram.ConcurrentHistogram;
import org.cyclamenpaddle.standins.report.Latency;

/** Latencies of all calls of a run, in modelled microseconds. Thread-safe. */
final class LatencyRecorder {

    private static final int DIGITS = 3;

    private final ConcurrentHistogram mFirstTokens = histogram();
    private final ConcurrentHistogram mGaps = histogram();

    void firstToken(long micros) {
        mFirstTokens.recordValue(Math.max(0, micros));
    }

    void gap(long micros) {
        mGaps.recordValue(Math.max(0, micros));
    }

    Latency firstTokens() {
        return Latency.of(mFirstTokens);
    }

    Latency gaps() {
        return Latency.of(mGaps);
    }

    private static ConcurrentHistogram histogram() {
        ConcurrentHistogram histogram = new ConcurrentHistogram(DIGITS);
        histogram.setAutoResize(true);
        return histogram;
    }
}
