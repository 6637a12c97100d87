package org.cyclamenpaddle.relay.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.stream.IntStream;
import org.cyclamenpaddle.core.invariant.BrokenInvariantException;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that lines are complete and that a blocked consumer of the output blocks no request. */
public class RelayEventLogTest {

    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();

    @BeforeMethod
    public void emptyOutput() {
        mOut.reset();
    }

    private RelayEventLog log(OutputStream out) {
        return new RelayEventLog(out, "host-1", () -> Instant.EPOCH);
    }

    private List<String> lines() {
        return mOut.toString(StandardCharsets.UTF_8).lines().toList();
    }

    @Test
    public void lineNamesEventAndFieldsAndCannotBeForged() {
        RelayEventLog log = log(mOut);
        log.log(RelayEvent.BACKEND_REMOVED, "i-1", "a \"quote\"\nand a line");
        log.flush();
        assertEquals(
                lines(),
                List.of(
                        "{\"time\":\"1970-01-01T00:00:00Z\",\"node\":\"host-1\","
                                + "\"code\":\"CP2107\","
                                + "\"event\":\"backend server entry removed or unreadable\","
                                + "\"backend\":\"i-1\","
                                + "\"reason\":\"a \\\"quote\\\"\\nand a line\"}"));
    }

    /**
     * The queue is not drained while many requests end. Ordinary lines are dropped first, those of
     * failures later, and the number of dropped lines is written once there is capacity again.
     */
    @Test
    public void fullQueueDropsOrdinaryLinesFirstAndReportsTheirNumber() {
        RelayEventLog log = log(mOut);
        IntStream.range(0, RelayEventLog.QUEUE_LINES)
                .forEach(i -> log.log(RelayEvent.RELEASE_FAILED, "i-1", i));
        log.log(RelayEvent.STORE_UNAVAILABLE, "configuration", "NO_ANSWER");
        log.flush();
        int written = RelayEventLog.QUEUE_LINES * 3 / 4;
        assertEquals(lines().size(), written + 2);
        assertTrue(lines().get(written).contains("CP2101"));
        assertTrue(
                lines().get(written + 1)
                        .contains("\"lines\":" + (RelayEventLog.QUEUE_LINES - written)));
    }

    @Test
    public void wrongNumberOfFieldsIsABrokenInvariant() {
        assertThrows(
                BrokenInvariantException.class,
                () -> log(mOut).log(RelayEvent.BACKEND_REMOVED, "one"));
    }
}
