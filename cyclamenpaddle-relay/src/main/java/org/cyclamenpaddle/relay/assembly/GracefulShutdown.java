package org.cyclamenpaddle.relay.assembly;

import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.relay.front.DrainState;

/** The planned stop of a relay, which cuts off no request in flight. */
final class GracefulShutdown implements DrainState {

    /**
     * How long requests are taken after the signal, in milliseconds.
     *
     * <p>The balancer asks every second and takes a host out after two misses; a connection that it
     * forwards in the last moment needs as long again to be opened and used.
     */
    static final long HANDOVER_MILLIS = 3_200;

    /**
     * Time left before the process is killed at which it ends by itself, in milliseconds.
     *
     * <p>Safeguard: a host that has turned slow needs several times the usual time to write its
     * last lines and end; killed, it loses them, and with them what became of its last requests.
     * Nothing that is in flight then could be excused by waiting for it: requests that come late in
     * a stop are refused, so that only the longest streams are.
     */
    static final long MARGIN_MILLIS = 600;

    /** How long no request has to be in flight before the end, in milliseconds. */
    static final long QUIET_MILLIS = 200;

    /** How long streams are taken after the signal, in milliseconds: most end within five more. */
    static final long STREAMS_MILLIS = 2_900;

    /** Time before the end of the grace in which no call is taken, in milliseconds. */
    static final long CALLS_MILLIS = 2_000;

    private static final long STEP_MILLIS = 50;

    private volatile long mGraceMillis;
    private final Clock mClock;
    private final Runnable mPause;
    private volatile long mStartMillis;
    private volatile boolean mStopping;

    GracefulShutdown(long graceMillis, Clock clock) {
        this(graceMillis, clock, GracefulShutdown::pause);
    }

    GracefulShutdown(long graceMillis, Clock clock, Runnable pause) {
        mGraceMillis = graceMillis;
        mClock = clock;
        mPause = pause;
    }

    @Override
    public boolean accepts(boolean streams) {
        if (!mStopping) {
            return true;
        }
        long spent = mClock.millis() - mStartMillis;
        return spent < (streams ? STREAMS_MILLIS : mGraceMillis - CALLS_MILLIS);
    }

    /** Changes the time after which the process is killed. */
    void grace(long millis) {
        mGraceMillis = millis;
    }

    @Override
    public boolean isStopping() {
        return mStopping;
    }

    /** Waits until the process may end, and returns how long that took. */
    long run(IntSupplier inFlight) {
        long start = mClock.millis();
        mStartMillis = start;
        mStopping = true;
        long busy = start;
        long now = start;
        while (!mayEnd(start, busy, now)) {
            mPause.run();
            now = mClock.millis();
            if (inFlight.getAsInt() > 0) {
                busy = now;
            }
        }
        return now - start;
    }

    private boolean mayEnd(long start, long busy, long now) {
        boolean done = now - start >= HANDOVER_MILLIS && now - busy >= QUIET_MILLIS;
        return done || now - start >= mGraceMillis - MARGIN_MILLIS;
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(STEP_MILLIS);
        } catch (InterruptedException hurry) {
            Thread.currentThread().interrupt();
        }
    }
}
