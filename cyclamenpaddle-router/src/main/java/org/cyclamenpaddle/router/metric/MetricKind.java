package org.cyclamenpaddle.router.metric;

import java.util.Locale;

/** Kinds of metric. */
public enum MetricKind {
    /** Rises only; a restart sets it to 0. */
    COUNTER,
    /** Rises and falls. */
    GAUGE,
    /** Histogram with the suffixes {@code _count}, {@code _sum} and {@code _bucket}. */
    TIMER;

    /** Returns the form used in the docs. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
