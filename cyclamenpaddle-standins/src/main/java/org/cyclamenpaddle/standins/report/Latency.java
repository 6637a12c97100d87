package org.cyclamenpaddle.standins.report;

import org.HdrHistogram.AbstractHistogram;

/**
 * Latency percentiles, in modelled milliseconds.
 *
 * @param count number of recorded values
 * @param p50 median
 * @param p95 95th percentile
 * @param p99 99th percentile
 */
public record Latency(long count, double p50, double p95, double p99) {

    private static final double MICROS_PER_MILLI = 1_000;
    private static final double MEDIAN = 50;
    private static final double P95 = 95;
    private static final double P99 = 99;

    /** Returns the percentiles of a histogram in microseconds. */
    public static Latency of(AbstractHistogram micros) {
        return new Latency(
                micros.getTotalCount(),
                micros.getValueAtPercentile(MEDIAN) / MICROS_PER_MILLI,
                micros.getValueAtPercentile(P95) / MICROS_PER_MILLI,
                micros.getValueAtPercentile(P99) / MICROS_PER_MILLI);
    }
}
