package org.cyclamenpaddle.routing.silence;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Tests which servers count as silent, alone and together. */
public class OtherServersTest {

    private static final long LIMIT_MILLIS = 500;
    private static final long LONG_MILLIS = 60_000;
    private static final ServerActivity IDLE = new ServerActivity(false, 0, LONG_MILLIS);
    private static final ServerActivity IDLE_HEARD = new ServerActivity(false, 0, LIMIT_MILLIS - 1);
    private static final ServerActivity SILENT =
            new ServerActivity(true, LIMIT_MILLIS, LIMIT_MILLIS);
    private static final ServerActivity STARTED =
            new ServerActivity(true, LIMIT_MILLIS - 1, LONG_MILLIS);
    private static final ServerActivity RESPONDING =
            new ServerActivity(true, LONG_MILLIS, LIMIT_MILLIS - 1);

    /** A server without work, or with new work, counts as silent. */
    @Test
    public void onlyServersThatLeaveWorkUnansweredAreSilent() {
        assertTrue(SILENT.isSilent(LIMIT_MILLIS));
        assertFalse(RESPONDING.isSilent(LIMIT_MILLIS));
        assertFalse(STARTED.isSilent(LIMIT_MILLIS));
        assertFalse(IDLE.isSilent(LIMIT_MILLIS));
        assertFalse(STARTED.isHeard(LIMIT_MILLIS));
        assertTrue(IDLE_HEARD.isHeard(LIMIT_MILLIS));
        assertThrows(IllegalArgumentException.class, () -> new ServerActivity(true, -1, 0));
        assertThrows(IllegalArgumentException.class, () -> new ServerActivity(true, 0, -1));
    }

    private static OtherServers of(ServerActivity... servers) {
        return OtherServers.of(List.of(servers), LIMIT_MILLIS);
    }

    /** Requests are sent a second time to servers of which nothing shows that they respond. */
    @Test
    public void othersAreAvailableOnlyIfOneIsHeard() {
        assertEquals(of(), OtherServers.NONE);
        assertEquals(of(SILENT, SILENT), OtherServers.SILENT);
        assertEquals(of(SILENT, IDLE), OtherServers.UNTRIED);
        assertEquals(of(SILENT, IDLE, STARTED), OtherServers.AWAITED);
        assertEquals(of(SILENT, IDLE, STARTED, RESPONDING), OtherServers.AVAILABLE);
        assertEquals(of(SILENT, IDLE_HEARD), OtherServers.AVAILABLE);
    }
}
