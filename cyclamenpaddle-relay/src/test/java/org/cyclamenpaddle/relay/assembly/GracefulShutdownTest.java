package org.cyclamenpaddle.relay.assembly;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongToIntFunction;
import org.cyclamenpaddle.core.time.Clock;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests when a planned stop ends and which requests it accepts, on a clock that advances with each
 * read.
 */
public class GracefulShutdownTest {

    private static final long GRACE = 8_000;
    private static final long STEP = 10;

    /** Longest duration of a call that ends before the process wherever it is accepted. */
    private static final long SHORT_CALL = 800;

    /** Longest duration of a call that may end after the process. */
    private static final long LONG_CALL = 3_500;

    /** Longest duration of a request that may end after the process also if it arrives early. */
    private static final long OUTLASTING_CALL = 6_000;

    private final AtomicLong mNow = new AtomicLong();
    private final Clock mClock = () -> mNow.addAndGet(STEP);

    private GracefulShutdown stop() {
        mNow.set(0);
        return new GracefulShutdown(GRACE, mClock, () -> {});
    }

    private long run(GracefulShutdown stop, LongToIntFunction inFlight) {
        return stop.run(() -> inFlight.applyAsInt(mNow.get()));
    }

    @Test
    public void idleHostRunsUntilTheBalancerStopsSending() {
        long took = run(stop(), now -> 0);
        assertTrue(took >= GracefulShutdown.MIN_DRAIN_MILLIS, "took " + took);
        assertTrue(took < GracefulShutdown.MIN_DRAIN_MILLIS + 100, "took " + took);
    }

    @Test
    public void requestsInFlightAreWaitedFor() {
        long took = run(stop(), now -> now < 6_000 ? 3 : 0);
        assertTrue(
                took >= 6_000 && took < 6_000 + GracefulShutdown.IDLE_MILLIS + 100, "took " + took);
    }

    @Test
    public void stopEndsBeforeTheProcessIsKilled() {
        long took = run(stop(), now -> 1);
        assertTrue(took <= GRACE - GracefulShutdown.EXIT_MARGIN_MILLIS + 100, "took " + took);
    }

    /**
     * Failure: the only host of a failure domain stops and callers keep sending to it. A stream
     * that arrived seven seconds after the signal was cut off half a second later, when the host
     * ended. Such a stream is refused, so that its caller goes to another host.
     */
    @Test
    public void lateStreamsAreRefusedAndCallsAreTakenForLonger() {
        GracefulShutdown stop = stop();
        assertTrue(stop.accepts(true, true, SHORT_CALL));
        long[] lastStream = {0};
        long[] lastCall = {0};
        run(
                stop,
                now -> {
                    lastStream[0] = stop.accepts(true, true, SHORT_CALL) ? now : lastStream[0];
                    lastCall[0] = stop.accepts(false, true, SHORT_CALL) ? now : lastCall[0];
                    return 1;
                });
        assertEquals(lastStream[0] / 100, GracefulShutdown.ACCEPT_STREAMS_MILLIS / 100 - 1);
        assertEquals(lastCall[0] / 100, (GRACE - GracefulShutdown.REFUSE_CALLS_MILLIS) / 100 - 1);
        assertFalse(stop.accepts(true, true, SHORT_CALL));
        assertFalse(stop.accepts(false, true, SHORT_CALL));
    }

    /** A call at a silent server is accepted late in a stop and cut off when the process ends. */
    @Test
    public void callThatMayOutliveTheProcessIsRefused() {
        GracefulShutdown stop = stop();
        long[] lastCall = {0};
        run(
                stop,
                now -> {
                    lastCall[0] = stop.accepts(false, true, LONG_CALL) ? now : lastCall[0];
                    return 1;
                });
        long endMillis = GRACE - GracefulShutdown.EXIT_MARGIN_MILLIS;
        assertTrue(lastCall[0] + LONG_CALL <= endMillis + 100, "accepted at " + lastCall[0]);
        assertTrue(lastCall[0] + LONG_CALL > endMillis - 200, "accepted at " + lastCall[0]);
    }

    /**
     * Failure: a request that may not be repeated is accepted early in a stop, lasts longer than
     * the process and is cut off with no answer.
     */
    @Test(dataProvider = "kinds")
    public void whatMayNotBeRepeatedEndsBeforeTheProcess(boolean streams) {
        GracefulShutdown stop = stop();
        long[] last = {0};
        long[] lastRepeatable = {0};
        run(
                stop,
                now -> {
                    last[0] = stop.accepts(streams, false, OUTLASTING_CALL) ? now : last[0];
                    lastRepeatable[0] =
                            stop.accepts(streams, true, OUTLASTING_CALL) ? now : lastRepeatable[0];
                    return 1;
                });
        long endMillis = GRACE - GracefulShutdown.EXIT_MARGIN_MILLIS;
        assertEquals(lastRepeatable[0] / 100, GracefulShutdown.ACCEPT_STREAMS_MILLIS / 100 - 1);
        assertTrue(last[0] + OUTLASTING_CALL <= endMillis + 100, "accepted at " + last[0]);
        assertTrue(last[0] + OUTLASTING_CALL > endMillis - 200, "accepted at " + last[0]);
    }

    /**
     * Failure: a request that is read between the last look at what is in flight and the end of the
     * process is accepted and cut off.
     */
    @Test
    public void requestReadAfterTheLastLookIsWaitedForOrRefused() {
        GracefulShutdown stop = stop();
        int[] open = {0};
        long[] endMillis = {0};
        run(
                stop,
                now -> {
                    open[0] = now < endMillis[0] ? open[0] : 0;
                    int seen = open[0];
                    if (now >= GracefulShutdown.MIN_DRAIN_MILLIS + STEP
                            && endMillis[0] == 0
                            && stop.accepts(false, false, SHORT_CALL)) {
                        open[0] = 1;
                        endMillis[0] = now + SHORT_CALL;
                    }
                    return seen;
                });
        assertTrue(endMillis[0] > 0, "no request was read late");
        assertEquals(open[0], 0, "cut at " + mNow.get());
        assertFalse(stop.accepts(false, true, SHORT_CALL), "accepted after the end");
    }

    @DataProvider
    public Object[][] kinds() {
        return new Object[][] {{true}, {false}};
    }
}
