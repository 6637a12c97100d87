package org.cyclamenpaddle.router.event;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.cyclamenpaddle.core.invariant.BrokenInvariantException;
import org.cyclamenpaddle.router.settings.LogFormat;
import org.cyclamenpaddle.router.settings.RouterSettings;
import org.testng.Assert;
import org.testng.annotations.Test;

@Test(singleThreaded = true)
public class EventLogTest {

    @Test
    public void writesOneHumanReadableLine() {
        String output =
                outputOf(LogFormat.HUMAN, log -> log.log(LogEvent.HOST_SUSPECT, "entry-1", 2_100));

        assertTrue(
                output.contains("CP1102 host is suspected host=entry-1 silentMillis=2100"), output);
    }

    @Test
    public void writesOneJsonObjectPerLine() throws IOException {
        String output =
                outputOf(
                        LogFormat.JSON,
                        log -> log.log(LogEvent.PRESET_IN_FORCE, "peak", "ordinary", 17));

        JsonNode line = new ObjectMapper().readTree(output);
        assertEquals(line.path("code").asText(), "CP1203");
        assertEquals(line.path("level").asText(), "info");
        assertEquals(line.path("fields").path("preset").asText(), "peak");
        assertEquals(line.path("fields").path("version").asText(), "17");
    }

    // Guards against log injection: a caller puts a line end into a value that the router logs, and
    // the log shows a line that no event wrote. Values are quoted and lose their control
    // characters.
    @Test
    public void fieldValuesCannotInjectLogLines() {
        String output =
                outputOf(
                        LogFormat.HUMAN,
                        log ->
                                log.log(
                                        LogEvent.PLATFORM_UNAVAILABLE,
                                        "x\nCP1901 invariant broken"));

        assertEquals(output.lines().count(), 1);
        assertTrue(output.contains("error=\"x CP1901 invariant broken\""), output);
    }

    @Test
    public void dropsEventsBelowTheConfiguredLevel() {
        String output =
                outputOf(
                        LogFormat.HUMAN,
                        log ->
                                log.log(
                                        LogEvent.REQUEST_REFUSED,
                                        "r-1",
                                        "malt-reader",
                                        "queue-full"));

        assertEquals(output, "");
    }

    @Test
    public void rejectsAWrongNumberOfFields() {
        Assert.assertThrows(
                BrokenInvariantException.class, () -> new EventLog().log(LogEvent.READY, "one"));
    }

    @Test
    public void codesAreUniqueAndRising() {
        String[] codes =
                Arrays.stream(LogEvent.values()).map(LogEvent::code).toArray(String[]::new);
        String[] sorted = Arrays.stream(codes).sorted().distinct().toArray(String[]::new);

        assertEquals(codes, sorted);
        assertFalse(codes.length == 0);
    }

    private static String outputOf(LogFormat format, java.util.function.Consumer<EventLog> writer) {
        PrintStream original = System.out;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        System.setOut(new PrintStream(bytes, true, StandardCharsets.UTF_8));
        try {
            LogOutput.configure(new RouterSettings.Log(format, "info"));
            writer.accept(new EventLog());
        } finally {
            System.setOut(original);
            LogOutput.configure(new RouterSettings.Log(LogFormat.HUMAN, "info"));
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }
}
