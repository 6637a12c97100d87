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
    private static final ServerActivity IDLE = new ServerActivity(false, 0);
    private static final ServerActivity SILENT = new ServerActivity(true, LIMIT_MILLIS);
    private static final ServerActivity RESPONDING = new ServerActivity(true, LIMIT_MILLIS - 1);

    /** A server without work counts as silent since it has nothing to respond to. */
    @Test
    public void onlyServersWithWorkAreSilent() {
        assertTrue(SILENT.isSilent(LIMIT_MILLIS));
        assertFalse(RESPONDING.isSilent(LIMIT_MILLIS));
        assertFalse(new ServerActivity(false, 60_000).isSilent(LIMIT_MILLIS));
        assertThrows(IllegalArgumentException.class, () -> new ServerActivity(true, -1));
    }

    /** Requests are sent a second time while no server responds, or stay while one does. */
    @Test
    public void othersAreSilentOnlyIfAllAre() {
        assertEquals(OtherServers.of(List.of(), LIMIT_MILLIS), OtherServers.NONE);
        assertEquals(OtherServers.of(List.of(SILENT, SILENT), LIMIT_MILLIS), OtherServers.SILENT);
        assertEquals(
                OtherServers.of(List.of(SILENT, RESPONDING), LIMIT_MILLIS), OtherServers.AVAILABLE);
        assertEquals(OtherServers.of(List.of(SILENT, IDLE), LIMIT_MILLIS), OtherServers.AVAILABLE);
        assertEquals(OtherServers.of(List.of(RESPONDING), LIMIT_MILLIS), OtherServers.AVAILABLE);
    }
}
