package org.cyclamenpaddle.router.metric;

import java.util.Locale;

/** Kind of a metric. */
public enum MetricKind {
    /** Increases only; a restart resets it to 0. */
    COUNTER,
    /** Increases and decreases. */
    GAUGE,
    /** Histogram with the suffixes {@code _count}, {@code _sum} and {@code _bucket}. */
    TIMER;

    /** Returns the name used in the documentation. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
