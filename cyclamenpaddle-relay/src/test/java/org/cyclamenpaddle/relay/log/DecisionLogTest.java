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

/** Tests that lines are whole and that a reader who stops reading holds up nobody. */
public class DecisionLogTest {

    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();

    @BeforeMethod
    public void emptyOutput() {
        mOut.reset();
    }

    private DecisionLog log(OutputStream out) {
        return new DecisionLog(out, "host-1", () -> Instant.EPOCH);
    }

    private List<String> lines() {
        return mOut.toString(StandardCharsets.UTF_8).lines().toList();
    }

    @Test
    public void lineNamesEventAndFieldsAndCannotBeForged() {
        DecisionLog log = log(mOut);
        log.log(RelayEvent.BACKEND_REMOVED, "i-1", "a \"quote\"\nand a line");
        log.flush();
        assertEquals(
                lines(),
                List.of(
                        "{\"time\":\"1970-01-01T00:00:00Z\",\"node\":\"host-1\","
                                + "\"code\":\"CP2107\","
                                + "\"event\":\"backend server has no entry\","
                                + "\"backend\":\"i-1\","
                                + "\"reason\":\"a \\\"quote\\\"\\nand a line\"}"));
    }

    /**
     * Nobody empties the queue while many requests end. Ordinary lines are dropped first, those of
     * failures later, and the count of what is missing is written once there is room.
     */
    @Test
    public void fullQueueDropsOrdinaryLinesFirstAndSaysHowMany() {
        DecisionLog log = log(mOut);
        IntStream.range(0, DecisionLog.QUEUE_LINES)
                .forEach(i -> log.log(RelayEvent.RELEASE_FAILED, "i-1", i));
        log.log(RelayEvent.STORE_UNREACHABLE, "configuration", "NO_ANSWER");
        log.flush();
        int kept = DecisionLog.QUEUE_LINES * 3 / 4;
        assertEquals(lines().size(), kept + 2);
        assertTrue(lines().get(kept).contains("CP2101"));
        assertTrue(lines().get(kept + 1).contains("\"lines\":" + (DecisionLog.QUEUE_LINES - kept)));
    }

    @Test
    public void wrongNumberOfFieldsIsABrokenInvariant() {
        assertThrows(
                BrokenInvariantException.class,
                () -> log(mOut).log(RelayEvent.BACKEND_REMOVED, "one"));
    }
}
