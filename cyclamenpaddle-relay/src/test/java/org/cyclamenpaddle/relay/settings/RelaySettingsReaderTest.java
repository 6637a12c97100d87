package org.cyclamenpaddle.relay.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.util.stream.Stream;
import org.cyclamenpaddle.routing.buffer.ByteBounds;
import org.cyclamenpaddle.routing.limit.QuotaBounds;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that settings are read and that an invalid file is rejected with the key at fault. */
public class RelaySettingsReaderTest {

    private static final String GOOD =
            """
            [host]
            name = "h"
            domain = "d"
            [listen]
            callers = "10.1.0.38:8149"
            checks = "10.1.0.38:8141"
            peers = "10.1.0.38:7380"
            [store]
            address = "10.200.1.7:8142"
            [stop]
            graceSeconds = 8
            [retry]
            share = 0.2
            slack = 52
            windowSeconds = 10
            [quota]
            windowSeconds = 8
            overage = 0.1
            slack = 190000
            [limits]
            memoryMb = 258
            """;

    @Test
    public void goodFileIsRead() {
        RelaySettings settings = RelaySettingsReader.parse(GOOD).get();
        assertEquals(settings.listen().callers(), new Endpoint("10.1.0.38", 8149));
        assertEquals(settings.stop().graceMillis(), 8_000);
        assertEquals(settings.retry().windowMillis(), 10_000);
        assertEquals(settings.quota(), new QuotaBounds(8, 0.1, 190_000));
        assertEquals(settings.bytes(), ByteBounds.ofMemory(258));
        String without = GOOD.substring(0, GOOD.indexOf("[quota]"));
        assertEquals(RelaySettingsReader.parse(without).get().quota(), QuotaBounds.DEFAULTS);
        assertEquals(RelaySettingsReader.parse(without).get().bytes(), ByteBounds.UNBOUNDED);
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {"graceSeconds = 8", "graceSeconds = 0", "graceSeconds"},
            {"graceSeconds = 8", "graceSeconds = ", ""},
            {"10.1.0.38:8149", "entry.example:80", "IP number"},
            {"share = 0.2", "share = 1.5", "retry.share must be from 0 to 1"},
            {"slack = 52", "slack = -0.5", "retry.slack must be 0 or more"},
            {"windowSeconds = 10", "windowSeconds = 0.0", "retry.windowSeconds must be above 0"},
            {"domain = \"d\"", "domian = \"d\"", "host.domain is missing"},
            {"domain = \"d\"", "domain = \"d\"\nfloor = 3", "floor"},
            {"overage = 0.1", "overage = -0.1", "quota.overage must be 0 or more"},
            {"slack = 190000", "", "quota.slack is missing"},
            {"memoryMb = 258", "memoryMb = 0", "limits.memoryMb must be above 0"},
            {"memoryMb = 258", "memory = 258", "limits.memoryMb is missing"},
            {"memoryMb = 258", "memoryMb = 258\nbodies = 3", "unknown key: limits.bodies"},
            {"peers = \"10.1.0.38:7380\"\n", "", "listen.peers is missing"},
            {"[store]\naddress = \"10.200.1.7:8142\"\n", "", "store"},
        };
    }

    @Test(dataProvider = "faults")
    public void badFileIsRefusedWithTheKeyAtFault(String part, String fault, String named) {
        String problem = RelaySettingsReader.parse(GOOD.replace(part, fault)).getLeft();
        assertTrue(problem.contains(named), problem);
    }

    @DataProvider
    public Object[][] numbers() {
        return new Object[][] {
            {"graceSeconds = 8", "stop.graceSeconds"},
            {"share = 0.2", "retry.share"},
            {"slack = 52", "retry.slack"},
            {"windowSeconds = 10", "retry.windowSeconds"},
            {"windowSeconds = 8", "quota.windowSeconds"},
            {"overage = 0.1", "quota.overage"},
            {"slack = 190000", "quota.slack"},
            {"memoryMb = 258", "limits.memoryMb"},
        };
    }

    /** Every number may be a fraction; a process that accepts only integers would not start. */
    @Test(dataProvider = "numbers")
    public void everyNumberMayBeAFraction(String line, String key) {
        String fraction = line.replaceAll("= .*", "= 0.75");
        assertTrue(RelaySettingsReader.parse(GOOD.replace(line, fraction)).isRight(), key);
    }

    /** A value out of range would start a process that retries or stops at random. */
    @Test(dataProvider = "numbers")
    public void numberThatMakesNoSenseIsRefusedWithItsKey(String line, String key) {
        String name = line.replaceAll(" =.*", "");
        Stream.of("nan", "inf", "-inf", "-1", "true", "\"8\"", "[8]")
                .map(value -> GOOD.replace(line, name + " = " + value))
                .forEach(text -> assertRefused(text, key));
        assertRefused(GOOD.replace(line, ""), key);
    }

    private static void assertRefused(String text, String key) {
        Either<String, RelaySettings> read = RelaySettingsReader.parse(text);
        assertTrue(read.isLeft() && read.getLeft().contains(key), key + ": " + read);
    }
}
