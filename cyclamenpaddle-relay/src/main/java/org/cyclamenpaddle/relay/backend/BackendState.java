package org.cyclamenpaddle.relay.backend;

import java.util.Optional;
import org.cyclamenpaddle.relay.directive.DirectiveState;
import org.cyclamenpaddle.routing.silence.ServerActivity;

/**
 * Tracks the state of one incarnation of a backend server, apart from its entry in the store.
 *
 * <p>Not thread-safe.
 */
final class BackendState {

    /** Weight of the newest sample in the average excess wait. */
    private static final double NEWEST_WEIGHT = 0.3;

    /** Half-life of the excess wait, in milliseconds; short because load bursts are short. */
    private static final double HALF_LIFE_MILLIS = 1_500;

    /**
     * Time for which a server counts as full after it has reported so, in milliseconds.
     *
     * <p>Shorter than the minimum retry delay of a waiting request, so that a retry does not always
     * find a mark that another request of this host has just renewed; long enough that concurrently
     * waiting requests share one response.
     */
    static final long FULL_MILLIS = 20;

    /**
     * Time in which the cost penalty of a full server decays to zero, in milliseconds.
     *
     * <p>Among many full engines, those that rejected a request longest ago are the most likely to
     * have free capacity.
     */
    static final long FULL_DECAY_MILLIS = 1_000;

    /**
     * Time for which an entry that its server contradicts is not used, in milliseconds.
     *
     * <p>Safeguard: a restarted server has a new id or stage some seconds before the store shows
     * it. It still grants reservations, so it appears to have capacity, but rejects every request
     * that follows, which uses up the requests' attempts. The new entry arrives with the server's
     * next heartbeat, about one second later; this value covers three heartbeats.
     */
    static final long OUTDATED_MILLIS = 3_600;

    /** Minimum interval between two fetches of a server's report, in milliseconds. */
    static final long REPORT_INTERVAL_MILLIS = 400;

    /** Age from which a report is no longer used, in milliseconds. */
    static final long REPORT_MAX_AGE_MILLIS = 2_000;

    private final long mStartedMillis;
    private final InFlightWork mInFlightWork = new InFlightWork();
    private final BackendHealth mHealth = new BackendHealth();
    private final DirectiveState mDirectives = new DirectiveState();
    private final MovingAverage mExcessWait = new MovingAverage(NEWEST_WEIGHT, HALF_LIFE_MILLIS);
    private long mFullUntilMillis = Long.MIN_VALUE / 2;
    private final ServerVoice mVoice = new ServerVoice();
    private long mWorkSinceMillis = Long.MIN_VALUE / 2;
    private Optional<Backend> mOutdated = Optional.empty();
    private long mOutdatedUntilMillis;

    private Optional<EngineReport> mReport = Optional.empty();
    private long mReportMillis = Long.MIN_VALUE / 2;
    private long mReportRequestedMillis = Long.MIN_VALUE / 2;

    BackendState(long startedMillis) {
        mStartedMillis = startedMillis;
    }

    long startedMillis() {
        return mStartedMillis;
    }

    InFlightWork inFlightWork() {
        return mInFlightWork;
    }

    BackendHealth health() {
        return mHealth;
    }

    DirectiveState directives() {
        return mDirectives;
    }

    /** Returns when this host last received anything from the server. */
    ServerVoice voice() {
        return mVoice;
    }

    /** Returns what this host knows of the activity of the server. */
    ServerActivity activity(long nowMillis) {
        return mVoice.activity(mInFlightWork.requests() > 0, mWorkSinceMillis, nowMillis);
    }

    void recordStart(WorkSize size, long nowMillis) {
        if (mInFlightWork.requests() == 0) {
            mWorkSinceMillis = nowMillis;
        }
        mInFlightWork.recordStart(size);
        mHealth.recordSend();
    }

    void recordFull(long nowMillis) {
        mFullUntilMillis = nowMillis + FULL_MILLIS;
    }

    boolean isFull(long nowMillis) {
        return nowMillis < mFullUntilMillis;
    }

    /** Returns the decayed weight of the last "full" response: 1 when it arrives, falling to 0. */
    double fullness(long nowMillis) {
        double sinceMillis = nowMillis - (mFullUntilMillis - FULL_MILLIS);
        return Math.max(0, 1 - sinceMillis / FULL_DECAY_MILLIS);
    }

    /** Returns whether the report should be fetched; if so, marks the fetch as started. */
    boolean reportDue(long nowMillis) {
        boolean due = nowMillis - mReportRequestedMillis >= REPORT_INTERVAL_MILLIS;
        if (due) {
            mReportRequestedMillis = nowMillis;
        }
        return due;
    }

    void recordReport(EngineReport report, long nowMillis) {
        mReport = Optional.of(report);
        mReportMillis = nowMillis;
    }

    /** Returns the last report if it is recent enough to use. */
    Optional<TimedReport> report(long nowMillis) {
        return mReport.map(report -> new TimedReport(report, mReportMillis))
                .filter(report -> report.ageMillis(nowMillis) < REPORT_MAX_AGE_MILLIS);
    }

    /** Returns the number of generations that the server runs, as far as this host knows. */
    int runningGenerations(long nowMillis) {
        int reported =
                report(nowMillis).map(report -> report.report().generations().size()).orElse(0);
        return Math.max(reported, mInFlightWork.requests() - 1);
    }

    /** Records that an entry does not, or no longer, describe the server. */
    void recordOutdated(Backend entry, long nowMillis) {
        mOutdated = Optional.of(entry);
        mOutdatedUntilMillis = nowMillis + OUTDATED_MILLIS;
    }

    /** Returns whether an entry is known to be wrong and has not been replaced since. */
    boolean isOutdated(Backend entry, long nowMillis) {
        return nowMillis < mOutdatedUntilMillis && mOutdated.map(entry::equals).orElse(false);
    }

    /** Records by how much a first response byte came later than this host's own work explains. */
    void recordExcessWait(double excessMillis, long nowMillis) {
        mVoice.heard(nowMillis);
        mExcessWait.add(Math.max(0, excessMillis), nowMillis);
    }

    /** Returns the recent wait caused by the load of other hosts or by slowness of the server. */
    double excessWaitMillis(long nowMillis) {
        return mExcessWait.value(nowMillis);
    }
}
