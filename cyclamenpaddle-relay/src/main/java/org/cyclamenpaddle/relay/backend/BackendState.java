package org.cyclamenpaddle.relay.backend;

import java.util.Optional;

/** What this host knows of one life of a backend server besides its entry; not thread-safe. */
final class BackendState {

    /** Weight of the newest reading in the excess wait. */
    private static final double NEWEST_WEIGHT = 0.3;

    /** Time after which half of an excess wait is forgotten, in milliseconds: bursts are short. */
    private static final double HALF_LIFE_MILLIS = 1_500;

    /**
     * How long a server counts as full after it said so, in milliseconds.
     *
     * <p>Under the shortest pause between two asks of a waiting request, so that none meets a mark
     * that another request of this host has just renewed; long enough that requests which wait
     * together share one answer.
     */
    static final long FULL_MILLIS = 20;

    /**
     * Time in which a server that was full becomes as good as any other, in milliseconds.
     *
     * <p>Among many full engines those that were asked longest ago have most likely room by now.
     */
    static final long FULL_FADES_MILLIS = 1_000;

    /**
     * How long an entry that its server denies is not used, in milliseconds.
     *
     * <p>Safeguard: a server that starts again has another id or stage some seconds before the
     * store says so. It still keeps places, which looks like room, and turns every request away
     * that follows; callers use up their attempts on it. A new entry comes with the server's next
     * heartbeat, about a second later; this is three of them.
     */
    static final long OUTDATED_MILLIS = 3_600;

    /** Least pause between two readings of a server's report, in milliseconds. */
    static final long REPORT_MILLIS = 400;

    /** Age from which a report is not used any more, in milliseconds. */
    static final long REPORT_KEPT_MILLIS = 2_000;

    private final long mBornMillis;
    private final OpenWork mOpen = new OpenWork();
    private final BackendHealth mHealth = new BackendHealth();
    private final MovingAverage mExcess = new MovingAverage(NEWEST_WEIGHT, HALF_LIFE_MILLIS);
    private long mFullUntilMillis = Long.MIN_VALUE / 2;
    private long mAnsweredMillis = Long.MIN_VALUE;
    private Optional<Backend> mOutdated = Optional.empty();
    private long mOutdatedUntilMillis;

    private Optional<EngineReport> mReport = Optional.empty();
    private long mReportMillis = Long.MIN_VALUE / 2;
    private long mReportAskedMillis = Long.MIN_VALUE / 2;

    BackendState(long bornMillis) {
        mBornMillis = bornMillis;
    }

    long bornMillis() {
        return mBornMillis;
    }

    OpenWork open() {
        return mOpen;
    }

    BackendHealth health() {
        return mHealth;
    }

    void started(WorkSize size) {
        mOpen.started(size);
        mHealth.sent();
    }

    void full(long nowMillis) {
        mFullUntilMillis = nowMillis + FULL_MILLIS;
    }

    boolean isFull(long nowMillis) {
        return nowMillis < mFullUntilMillis;
    }

    /** Returns how fresh its last "full" is: 1 at the moment it said so, 0 when that has faded. */
    double fullness(long nowMillis) {
        double sinceMillis = nowMillis - (mFullUntilMillis - FULL_MILLIS);
        return Math.max(0, 1 - sinceMillis / FULL_FADES_MILLIS);
    }

    /** Returns whether its report should be read again, and if so takes it as being read. */
    boolean reportDue(long nowMillis) {
        boolean due = nowMillis - mReportAskedMillis >= REPORT_MILLIS;
        if (due) {
            mReportAskedMillis = nowMillis;
        }
        return due;
    }

    void reported(EngineReport report, long nowMillis) {
        mReport = Optional.of(report);
        mReportMillis = nowMillis;
    }

    /** Returns the last report if it still tells something. */
    Optional<TimedReport> report(long nowMillis) {
        return mReport.map(report -> new TimedReport(report, mReportMillis))
                .filter(report -> report.ageMillis(nowMillis) < REPORT_KEPT_MILLIS);
    }

    /** Returns the generations that it runs, as far as this host knows. */
    int runs(long nowMillis) {
        int reported =
                report(nowMillis).map(report -> report.report().generations().size()).orElse(0);
        return Math.max(reported, mOpen.requests() - 1);
    }

    /** Notes that the server is not, or no longer, what an entry says. */
    void outdated(Backend entry, long nowMillis) {
        mOutdated = Optional.of(entry);
        mOutdatedUntilMillis = nowMillis + OUTDATED_MILLIS;
    }

    /** Returns whether an entry is known to be wrong, and no newer one has come since. */
    boolean isOutdated(Backend entry, long nowMillis) {
        return nowMillis < mOutdatedUntilMillis && mOutdated.map(entry::equals).orElse(false);
    }

    /** Notes by how much a first answer byte came later than this host's own work explains. */
    void waited(double excessMillis, long nowMillis) {
        mAnsweredMillis = nowMillis;
        mExcess.add(Math.max(0, excessMillis), nowMillis);
    }

    /** Returns whether a first answer byte has come since a moment. */
    boolean answeredSince(long millis) {
        return mAnsweredMillis >= millis;
    }

    /** Returns the wait that others' work, or slowness, has caused of late. */
    double excessMillis(long nowMillis) {
        return mExcess.at(nowMillis);
    }
}
