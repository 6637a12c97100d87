package org.cyclamenpaddle.routing.silence;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests the times after which a server that sends nothing counts as silent. */
public class SilenceLimitsTest {

    @Test
    public void limitsFollowTargetAndSilenceOfTheRoute() {
        SilenceLimits limits = SilenceLimits.of(400, 3_600, 60_000);
        assertEquals(limits.millis(false), 1_000);
        assertEquals(limits.millis(true), 1_440);
    }

    /** A route's timeout is so short that a second server is asked when it is over. */
    @Test
    public void secondServerHasAsMuchTimeAsTheFirst() {
        for (long remaining = 0; remaining < 5_000; remaining += 7) {
            SilenceLimits limits = SilenceLimits.of(400, 3_600, remaining);
            assertTrue(2 * limits.firstEventMillis() <= remaining, "of " + remaining + " ms");
        }
    }

    /** Another server would respond only when callers have left because of the silence. */
    @Test
    public void secondServerHasMoreOfTheSilenceThanTheFirst() {
        for (long silence = 0; silence < 20_000; silence += 50) {
            SilenceLimits limits = SilenceLimits.of(400, silence, 60_000);
            long begun = limits.nextEventMillis();
            assertTrue(2 * begun <= silence, "limit " + begun + " of " + silence + " ms");
        }
    }

    /** A stream waits for evidence until its caller leaves, and another server has no time left. */
    @Test
    public void overdueRequestHasATargetLatencyLeft() {
        SilenceLimits limits = SilenceLimits.of(900, 3_600, 14_000);
        long stream = SilenceLimits.overdueMillis(limits.millis(true));
        assertTrue(stream + 900 <= 3_600, "overdue after " + stream + " ms");
        assertTrue(stream >= 2 * SilenceLimits.otherMillis(limits.millis(true)));
        assertEquals(SilenceLimits.overdueMillis(limits.millis(false)), 3_600);
    }

    /**
     * A short limit, as that of a request whose time is almost over, makes the event loop decide
     * without a pause.
     */
    @Test
    public void decisionsOnOneRequestArePaced() {
        assertEquals(SilenceLimits.recheckMillis(0), 50);
        assertEquals(SilenceLimits.recheckMillis(100), 50);
        assertEquals(SilenceLimits.recheckMillis(1_000), 200);
    }

    @Test
    public void negativeLimitsAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> new SilenceLimits(-1, 0, 0));
        assertThrows(IllegalArgumentException.class, () -> new SilenceLimits(0, -1, 0));
        assertThrows(IllegalArgumentException.class, () -> new SilenceLimits(0, 0, -1));
    }

    /** A sound server counts as silent since a request that was sent there had little time left. */
    @Test
    public void serverIsNotSuspectedSoonerByARequestWithLittleTime() {
        SilenceLimits limits = SilenceLimits.of(400, 3_600, 100);
        assertTrue(limits.millis(false) < 100);
        assertEquals(
                limits.suspectMillis(false), SilenceLimits.of(400, 3_600, 60_000).millis(false));
        assertEquals(limits.suspectMillis(true), limits.millis(true));
    }
}
