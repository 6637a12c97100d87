package org.cyclamenpaddle.ctl.log;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.HdrHistogram.Histogram;
import org.cyclamenpaddle.ctl.report.Json;

/** What became of some requests, and what those waited for that were answered. */
public final class RequestTally {

    private static final String ANSWERED = "CP2201";
    private static final String FAILED = "CP2202";
    private static final String CUT = "CP2203";
    private static final String CALLER_GONE = "CP2204";
    private static final long NOT_RUN = 503;

    private static final int DIGITS = 2;
    private static final double MEDIAN = 50;
    private static final double HIGH = 95;

    private final Histogram mPlaceMillis = new Histogram(DIGITS);
    private final Histogram mReadMillis = new Histogram(DIGITS);
    private final Histogram mPauseMillis = new Histogram(DIGITS);
    private final Histogram mMillis = new Histogram(DIGITS);
    private long mAnswered;
    private long mSentAgain;
    private long mRefused;
    private long mFailed;
    private long mCut;
    private long mGone;

    /** Returns whether a line tells the end of a request. */
    public static boolean tellsAnEnd(LogLine line) {
        return switch (line.code()) {
            case ANSWERED, FAILED, CUT, CALLER_GONE -> true;
            default -> false;
        };
    }

    /** Takes in the line that tells the end of a request. */
    public void add(LogLine line) {
        switch (line.code()) {
            case ANSWERED -> answered(line);
            case FAILED -> failed(line);
            case CUT -> mCut++;
            case CALLER_GONE -> mGone++;
            default -> throw new IllegalArgumentException(line.code() + " ends no request");
        }
    }

    private void failed(LogLine line) {
        if (line.number("told") == NOT_RUN) {
            mRefused++;
        } else {
            mFailed++;
        }
    }

    private void answered(LogLine line) {
        mAnswered++;
        mSentAgain += line.number("sends") > 1 ? 1 : 0;
        mMillis.recordValue(Math.max(0, line.number("millis")));
        long place = line.number("placeMillis");
        if (place >= 0) {
            mPlaceMillis.recordValue(place);
            mReadMillis.recordValue(Math.max(0, line.number("firstMillis") - place));
            mPauseMillis.recordValue(Math.max(0, line.number("pauseMillis")));
        }
    }

    /** Returns the figures, times in milliseconds. */
    public ObjectNode shown() {
        return Json.object()
                .put("answered", mAnswered)
                .put("sentAgain", mSentAgain)
                .put("refused", mRefused)
                .put("failed", mFailed)
                .put("cut", mCut)
                .put("gone", mGone)
                .put("place50", mPlaceMillis.getValueAtPercentile(MEDIAN))
                .put("place95", mPlaceMillis.getValueAtPercentile(HIGH))
                .put("read50", mReadMillis.getValueAtPercentile(MEDIAN))
                .put("read95", mReadMillis.getValueAtPercentile(HIGH))
                .put("pause95", mPauseMillis.getValueAtPercentile(HIGH))
                .put("whole95", mMillis.getValueAtPercentile(HIGH));
    }
}
