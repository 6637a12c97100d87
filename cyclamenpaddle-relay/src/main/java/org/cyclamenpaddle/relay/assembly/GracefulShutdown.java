package org.cyclamenpaddle.relay.assembly;

import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.relay.front.DrainState;

/**
 * Runs the planned stop of a relay: keeps accepting requests until the load balancer has removed
 * the host, then waits for the requests in flight.
 */
final class GracefulShutdown implements DrainState {

    /**
     * Minimum time from the signal to the end of the process, in milliseconds.
     *
     * <p>The load balancer checks readiness every second and removes a host after two failed
     * checks; a connection that it forwards just before that needs as long again to be opened and
     * used.
     */
    static final long MIN_DRAIN_MILLIS = 3_200;

    /**
     * Time before the end of the grace period at which the process ends by itself, in milliseconds.
     *
     * <p>Safeguard: a host that has become slow needs several times the usual time to write its
     * last log lines and exit. If it were killed, those lines would be lost, and with them the
     * outcome of its last requests. Waiting longer would help only the longest streams, because
     * requests that arrive late in a stop are refused.
     */
    static final long EXIT_MARGIN_MILLIS = 600;

    /** Time without a request in flight after which the process may end, in milliseconds. */
    static final long IDLE_MILLIS = 200;

    /**
     * Time from the signal during which new streams are accepted, in milliseconds; most end within
     * five seconds more.
     */
    static final long ACCEPT_STREAMS_MILLIS = 2_900;

    /**
     * Time before the end of the grace period during which new calls are refused, in milliseconds.
     */
    static final long REFUSE_CALLS_MILLIS = 2_000;

    /**
     * Time before the latest end of the process from which every new request is refused, in
     * milliseconds; enough to write the refusals.
     */
    static final long CLOSE_MILLIS = 100;

    private static final long POLL_MILLIS = 50;

    private volatile long mGraceMillis;
    private final Clock mClock;
    private final Runnable mPause;
    private volatile long mStartMillis;
    private volatile boolean mStopping;
    private volatile boolean mClosed;

    GracefulShutdown(long graceMillis, Clock clock) {
        this(graceMillis, clock, GracefulShutdown::pause);
    }

    GracefulShutdown(long graceMillis, Clock clock, Runnable pause) {
        mGraceMillis = graceMillis;
        mClock = clock;
        mPause = pause;
    }

    @Override
    public boolean accepts(boolean streams, boolean repeatable, long maxMillis) {
        if (!mStopping) {
            return true;
        }
        if (mClosed) {
            return false;
        }
        long spent = mClock.millis() - mStartMillis;
        boolean endsBeforeTheProcess = maxMillis <= lifetimeMillis() - spent;
        boolean early = spent < ACCEPT_STREAMS_MILLIS;
        boolean callInTime = !streams && spent < mGraceMillis - REFUSE_CALLS_MILLIS;
        return endsBeforeTheProcess ? early || callInTime : early && repeatable;
    }

    /** Updates the grace period, after which the process is killed. */
    void updateGrace(long millis) {
        mGraceMillis = millis;
    }

    @Override
    public boolean isStopping() {
        return mStopping;
    }

    /**
     * Runs the stop until the process may end.
     *
     * @param inFlight returns the number of requests in flight
     * @return the time that the stop took, in milliseconds
     */
    long run(IntSupplier inFlight) {
        long start = mClock.millis();
        mStartMillis = start;
        mStopping = true;
        long lastBusy = start;
        long now = start;
        while (!mayEnd(start, lastBusy, now)) {
            mPause.run();
            now = mClock.millis();
            if (inFlight.getAsInt() > 0) {
                lastBusy = now;
            }
        }
        mClosed = true;
        return awaitLast(inFlight, start);
    }

    /**
     * Waits for the requests that were accepted between the last look and the decision to end, and
     * for the refusals of all others to be written.
     *
     * @return the time since the start of the stop, in milliseconds
     */
    private long awaitLast(IntSupplier inFlight, long start) {
        long now;
        do {
            mPause.run();
            now = mClock.millis();
        } while (inFlight.getAsInt() > 0 && now - start < lifetimeMillis());
        return now - start;
    }

    /** Returns the maximum time from the signal to the end of the process, in milliseconds. */
    private long lifetimeMillis() {
        return mGraceMillis - EXIT_MARGIN_MILLIS;
    }

    private boolean mayEnd(long start, long lastBusy, long now) {
        boolean done = now - start >= MIN_DRAIN_MILLIS && now - lastBusy >= IDLE_MILLIS;
        return done || now - start >= lifetimeMillis() - CLOSE_MILLIS;
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
