package org.cyclamenpaddle.relay.quota;

/** Intervals of the reports to owners, by the number of hosts. */
final class QuotaTiming {

    /** Minimum interval between two regular reports of a host to an owner, in milliseconds. */
    static final long MIN_REPORT_MILLIS = 1_000;

    /** Timeout of a report, in milliseconds; typical responses take 3. */
    static final long TIMEOUT_MILLIS = 200;

    /** Time that an owner may spend on the regular report of one host, in milliseconds. */
    private static final long REPORT_MILLIS_PER_HOST = 10;

    /** Multiple of the interval at which a host reports on a shard of which it uses nothing. */
    private static final long IDLE_FACTOR = 2;

    /** Regular reports that may be missing before a host counts as silent. */
    private static final double SILENT_REPORTS = 2.5;

    private QuotaTiming() {}

    /** Returns the interval of regular reports, which bounds the load of an owner. */
    static long reportMillis(int hosts) {
        return Math.max(MIN_REPORT_MILLIS, hosts * REPORT_MILLIS_PER_HOST);
    }

    /** Returns the interval of reports on a shard of which a host uses nothing. */
    static long idleReportMillis(int hosts) {
        return reportMillis(hosts) * IDLE_FACTOR;
    }

    /** Returns the time without a report after which a host counts as silent that uses nothing. */
    static long idleSilentMillis(int hosts) {
        return silentMillis(hosts) * IDLE_FACTOR;
    }

    /** Returns the time without a report after which a host counts as silent. */
    static long silentMillis(int hosts) {
        return Math.round(reportMillis(hosts) * SILENT_REPORTS);
    }
}
