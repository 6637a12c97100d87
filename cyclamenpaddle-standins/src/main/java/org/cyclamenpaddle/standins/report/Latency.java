package org.cyclamenpaddle.standins.report;

import org.HdrHistogram.AbstractHistogram;

/**
 * Percentiles of a latency, in modelled milliseconds.
 *
 * @param count values recorded
 * @param p50 median
 * @param p95 95th percentile
 * @param p99 99th percentile
 */
public record Latency(long count, double p50, double p95, double p99) {

    private static final double MICROS_PER_MILLI = 1_000;
    private static final double MEDIAN = 50;
    private static final double HIGH = 95;
    private static final double HIGHEST = 99;

    /** Returns the percentiles of a histogram of microseconds. */
    public static Latency of(AbstractHistogram micros) {
        return new Latency(
                micros.getTotalCount(),
                micros.getValueAtPercentile(MEDIAN) / MICROS_PER_MILLI,
                micros.getValueAtPercentile(HIGH) / MICROS_PER_MILLI,
                micros.getValueAtPercentile(HIGHEST) / MICROS_PER_MILLI);
    }
}
