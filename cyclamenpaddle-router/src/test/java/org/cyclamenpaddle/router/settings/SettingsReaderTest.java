package org.cyclamenpaddle.router.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.cyclamenpaddle.routing.placement.PlacementPolicy;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class SettingsReaderTest {

    private static final String MINIMAL =
            """
            [host]
            name = "entry-ahm-1"
            failure_domain = "ahm"
            address = "127.0.0.1"
            [platform]
            address = "127.0.0.1"
            """;

    @Test
    public void fillsInDefaults() {
        RouterSettings settings = SettingsReader.parse("a.toml", MINIMAL).get();

        assertEquals(settings.host().name().value(), "entry-ahm-1");
        assertEquals(settings.limits().bodyBytes(), 4_194_304);
        assertEquals(settings.timing().reconcileMillis(), 1_000);
        assertEquals(settings.bookings().retentionHours(), 24);
        assertEquals(settings.log().format(), LogFormat.HUMAN);
        assertEquals(settings.peers().seeds(), List.of());
    }

    @Test
    public void readsEverySection() {
        String text =
                MINIMAL
                        + """
                        port = 7999
                        [peers]
                        seeds = ["127.0.0.1:7201", "[::1]:7202"]
                        [limits]
                        retry_share = 0.25
                        [routing]
                        policy = "ROUND_ROBIN"
                        [log]
                        format = "json"
                        """;

        RouterSettings settings = SettingsReader.parse("a.toml", text).get();

        assertEquals(settings.platform().port(), 7_999);
        assertEquals(settings.peers().seeds().get(1), new PeerAddress("::1", 7_202));
        assertEquals(settings.limits().retryShare(), 0.25);
        assertEquals(settings.routing().policy(), PlacementPolicy.ROUND_ROBIN);
        assertEquals(settings.log().format(), LogFormat.JSON);
    }

    @DataProvider
    public Object[][] refused() {
        return new Object[][] {
            {"[limits]\nbody_byte = 5", "limits.body_byte", "unknown key", "body_bytes"},
            {"[limit]\nbody_bytes = 5", "limit", "unknown section", "[limits]"},
            {"peers = 3", "peers", "is a value", "[peers]"},
            {"[limits]\nretry_share = 1.5", "limits.retry_share", "bad value 1.5", "0 to 1"},
            {"[timing]\nreconcile_ms = \"1s\"", "timing.reconcile_ms", "bad value", "10 to 60000"},
            {"[timing]\nreconcile_ms = 1.5", "timing.reconcile_ms", "bad value", "whole number"},
            {"[peers]\nseeds = [\"entry:7\"]", "peers.seeds", "bad value", "IP-number:port"},
            {"[peers]\nseeds = [7]", "peers.seeds", "bad value", "IP-number:port"},
            {"[log]\nformat = \"xml\"", "log.format", "bad value", "\"human\", \"json\""},
            {"[routing]\npolicy = \"BEST\"", "routing.policy", "bad value", "TIMED_GRANTS"},
            {"[log]\nformat = ", "line 8", "", "TOML"},
        };
    }

    @Test(dataProvider = "refused")
    public void namesFileKeyAndWhatIsAllowed(
            String extra, String where, String problem, String allowed) {
        String text = extra.startsWith("[") ? MINIMAL + extra : extra + "\n" + MINIMAL;

        SettingsError error = SettingsReader.parse("a.toml", text).getLeft();

        assertEquals(error.file(), "a.toml");
        assertTrue(error.location().startsWith(where), error.message());
        assertTrue(error.problem().contains(problem), error.message());
        assertTrue(error.allowed().contains(allowed), error.message());
    }

    @Test
    public void refusesValuesThatContradictEachOther() {
        String text = MINIMAL.replace("[platform]", "http_port = 7200\n[platform]");

        SettingsError error = SettingsReader.parse("a.toml", text).getLeft();

        assertEquals(error.location(), "settings");
        assertTrue(error.problem().contains("both 7200"), error.message());
        assertTrue(error.allowed().contains("fit each other"), error.message());
    }

    @Test
    public void refusesAFileWithoutAHostName() {
        SettingsError error =
                SettingsReader.parse("a.toml", MINIMAL.replace("name =", "#")).getLeft();

        assertEquals(error.location(), "host.name");
        assertTrue(error.problem().contains("missing"), error.message());
    }

    @Test
    public void refusesAnUnreadableFile() throws IOException {
        Path directory = Files.createTempDirectory("settings");

        assertEquals(SettingsReader.read(directory).getLeft().location(), "file");
    }
}
