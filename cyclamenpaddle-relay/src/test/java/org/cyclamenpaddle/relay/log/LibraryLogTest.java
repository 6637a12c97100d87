package org.cyclamenpaddle.relay.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/** Tests that only warnings and errors of libraries are written to the event log. */
public class LibraryLogTest {

    @AfterMethod(alwaysRun = true)
    public void restore() throws Exception {
        LogManager.getLogManager().readConfiguration();
    }

    @Test
    public void warningIsOneStructuredLine() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        RelayEventLog log = new RelayEventLog(out, "h", () -> Instant.EPOCH);
        LibraryLog.install(log);
        Logger library = Logger.getLogger("some.library");
        library.info("all is well");
        library.log(Level.WARNING, "cannot read", new IllegalStateException("gone"));
        log.flush();
        String lines = out.toString(StandardCharsets.UTF_8);
        assertEquals(lines.lines().count(), 1);
        assertTrue(lines.contains("\"code\":\"CP2007\""), lines);
        assertTrue(lines.contains("\"logger\":\"some.library\""), lines);
        assertTrue(lines.contains("IllegalStateException: gone"), lines);
    }
}
