package org.cyclamenpaddle.ctl.log;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.HdrHistogram.Histogram;
import org.cyclamenpaddle.ctl.report.Json;

/** Counts the outcomes of requests and aggregates the latencies of completed requests. */
public final class RequestTally {

    private static final String REQUEST_ENDED = "CP2201";
    private static final String REQUEST_FAILED = "CP2202";
    private static final String RESPONSE_TRUNCATED = "CP2203";
    private static final String CALLER_DISCONNECTED = "CP2204";
    private static final long NOT_RUN_STATUS = 503;

    private static final int SIGNIFICANT_DIGITS = 2;
    private static final double MEDIAN = 50;
    private static final double PERCENTILE_95 = 95;

    private final Histogram mReservationMillis = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram mFirstEventMillis = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram mMaxPauseMillis = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram mTotalMillis = new Histogram(SIGNIFICANT_DIGITS);
    private long mCompleted;
    private long mRetried;
    private long mRejected;
    private long mFailed;
    private long mTruncated;
    private long mDisconnected;

    /** Returns whether a line records the end of a request. */
    public static boolean isRequestEnd(LogLine line) {
        return switch (line.code()) {
            case REQUEST_ENDED, REQUEST_FAILED, RESPONSE_TRUNCATED, CALLER_DISCONNECTED -> true;
            default -> false;
        };
    }

    /** Adds a line that records the end of a request. */
    public void add(LogLine line) {
        switch (line.code()) {
            case REQUEST_ENDED -> recordCompleted(line);
            case REQUEST_FAILED -> recordFailed(line);
            case RESPONSE_TRUNCATED -> mTruncated++;
            case CALLER_DISCONNECTED -> mDisconnected++;
            default ->
                    throw new IllegalArgumentException(line.code() + " is not a request end event");
        }
    }

    private void recordFailed(LogLine line) {
        if (line.number("told") == NOT_RUN_STATUS) {
            mRejected++;
        } else {
            mFailed++;
        }
    }

    private void recordCompleted(LogLine line) {
        mCompleted++;
        mRetried += line.number("sends") > 1 ? 1 : 0;
        mTotalMillis.recordValue(Math.max(0, line.number("millis")));
        long reservationMillis = line.number("placeMillis");
        if (reservationMillis >= 0) {
            mReservationMillis.recordValue(reservationMillis);
            mFirstEventMillis.recordValue(
                    Math.max(0, line.number("firstMillis") - reservationMillis));
            mMaxPauseMillis.recordValue(Math.max(0, line.number("pauseMillis")));
        }
    }

    /** Returns the counts and the latency percentiles, in milliseconds. */
    public ObjectNode toJson() {
        return Json.object()
                .put("answered", mCompleted)
                .put("sentAgain", mRetried)
                .put("refused", mRejected)
                .put("failed", mFailed)
                .put("cut", mTruncated)
                .put("gone", mDisconnected)
                .put("place50", mReservationMillis.getValueAtPercentile(MEDIAN))
                .put("place95", mReservationMillis.getValueAtPercentile(PERCENTILE_95))
                .put("read50", mFirstEventMillis.getValueAtPercentile(MEDIAN))
                .put("read95", mFirstEventMillis.getValueAtPercentile(PERCENTILE_95))
                .put("pause95", mMaxPauseMillis.getValueAtPercentile(PERCENTILE_95))
                .put("whole95", mTotalMillis.getValueAtPercentile(PERCENTILE_95));
    }
}
