package org.cyclamenpaddle.relay.assembly;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongToIntFunction;
import org.cyclamenpaddle.core.time.Clock;
import org.testng.annotations.Test;

/** Tests when a planned stop ends, and what it still takes, on a clock that each look moves. */
public class GracefulShutdownTest {

    private static final long GRACE = 8_000;
    private static final long STEP = 10;

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
    public void idleHostStaysUntilTheBalancerHasLeft() {
        long took = run(stop(), now -> 0);
        assertTrue(took >= GracefulShutdown.HANDOVER_MILLIS, "took " + took);
        assertTrue(took < GracefulShutdown.HANDOVER_MILLIS + 100, "took " + took);
    }

    @Test
    public void requestsInFlightAreWaitedFor() {
        long took = run(stop(), now -> now < 6_000 ? 3 : 0);
        assertTrue(
                took >= 6_000 && took < 6_000 + GracefulShutdown.QUIET_MILLIS + 100,
                "took " + took);
    }

    @Test
    public void stopEndsBeforeTheProcessIsKilled() {
        long took = run(stop(), now -> 1);
        assertTrue(took <= GRACE - GracefulShutdown.MARGIN_MILLIS + 100, "took " + took);
    }

    /**
     * The only host of its failure domain stops, and callers go on sending to it. A stream that
     * came seven seconds after the signal was cut off half a second later, when the host ended; it
     * is refused now, so that its caller goes elsewhere.
     */
    @Test
    public void lateStreamsAreRefusedAndCallsAreTakenForLonger() {
        GracefulShutdown stop = stop();
        assertTrue(stop.accepts(true));
        long[] lastStream = {0};
        long[] lastCall = {0};
        run(
                stop,
                now -> {
                    lastStream[0] = stop.accepts(true) ? now : lastStream[0];
                    lastCall[0] = stop.accepts(false) ? now : lastCall[0];
                    return 1;
                });
        assertEquals(lastStream[0] / 100, GracefulShutdown.STREAMS_MILLIS / 100 - 1);
        assertEquals(lastCall[0] / 100, (GRACE - GracefulShutdown.CALLS_MILLIS) / 100 - 1);
        assertFalse(stop.accepts(true));
        assertFalse(stop.accepts(false));
    }
}
