package org.cyclamenpaddle.ctl;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServerBuilder;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.cyclamenpaddle.core.id.ChangeId;
import org.cyclamenpaddle.core.time.VirtualClock;
import org.cyclamenpaddle.ctl.client.HttpOperatorClient;
import org.cyclamenpaddle.ctl.command.Cyclamenctl;
import org.cyclamenpaddle.ctl.command.Session;
import org.cyclamenpaddle.ctl.report.ExitCode;
import org.cyclamenpaddle.ctl.report.Json;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

@Test(singleThreaded = true)
public class CyclamenctlTest {

    private static final String OBJECTS =
            """
            [[preset]]
            name = "ordinary"
            assignments = [{ backend = "d1", service = "malt-reader", role = "DECODE" }]

            [[backend]]
            id = "d1"
            failureDomain = "ahm"
            address = "127.0.0.1"
            port = 7300
            slots = 20

            [[service]]
            name = "malt-reader"
            kind = "MODEL"
            model = "malt-7b"
            firstTokenMillis = 580
            perTokenMillis = 44
            """;

    private FakeOperatorApi mApi;
    private Server mServer;
    private VirtualClock mClock;
    private ByteArrayOutputStream mOut;
    private ByteArrayOutputStream mErr;
    private int mChanges;

    @BeforeClass
    public void start() {
        // Each test gets a new API; the server is shared, since stopping a server takes seconds.
        ServerBuilder builder = Server.builder().http(new InetSocketAddress("127.0.0.1", 0));
        builder.service("prefix:/", (context, request) -> HttpResponse.of(404));
        mServer = builder.build();
        mServer.start().join();
    }

    @BeforeMethod
    public void reset() {
        mApi = new FakeOperatorApi();
        mServer.reconfigure(builder -> builder.annotatedService("/operator/v1", mApi));
        mClock = new VirtualClock(0);
        mChanges = 0;
    }

    @AfterClass
    public void stop() {
        mServer.stop().join();
    }

    @Test
    public void appliesObjectsInDependencyOrder() throws IOException {
        ExitCode first = run("apply", "-f", file(OBJECTS));
        String created = out();
        ExitCode second = run("apply", "-f", file(OBJECTS));

        assertEquals(first, ExitCode.DONE);
        assertEquals(
                created.lines().map(line -> line.split(" +")[0]).toList(),
                List.of("kind", "service", "backend", "preset"));
        assertEquals(mApi.spec("backend/d1").path("fencing").asText(), "IGNORES");
        assertEquals(second, ExitCode.DONE);
        assertEquals(out().lines().filter(line -> line.contains("unchanged")).count(), 3);
    }

    // A backend server is draining and its object file, which omits "leaving", is applied again.
    // Without the safeguard, the drain would be cancelled and the server would get new requests.
    @Test
    public void applyPreservesDrainState() throws IOException {
        run("apply", "-f", file(OBJECTS));
        run("backend", "drain", "d1");

        run("apply", "-f", file(OBJECTS.replace("slots = 20", "slots = 18")));

        assertEquals(mApi.spec("backend/d1").path("slots").asInt(), 18);
        assertTrue(mApi.spec("backend/d1").path("leaving").asBoolean());
    }

    @Test
    public void showsListsAndDeletes() throws IOException {
        run("apply", "-f", file(OBJECTS));

        assertEquals(run("service", "list"), ExitCode.DONE);
        assertTrue(out().contains("malt-reader"), out());
        assertEquals(run("backend", "show", "d1", "--output", "json"), ExitCode.DONE);
        assertEquals(Json.read(out()).orElseThrow().path("spec").path("slots").asInt(), 20, out());
        assertEquals(run("preset", "delete", "ordinary"), ExitCode.DONE);
        assertEquals(run("preset", "show", "ordinary"), ExitCode.NOT_FOUND);
    }

    @Test
    public void conflictNamesTheWinningChange() {
        mApi.write("in-force/preset", "ravi:1", Json.object().put("preset", "peak"));

        ExitCode code = run("preset", "use", "ordinary", "--expect-version", "0");

        assertEquals(code, ExitCode.CONFLICT);
        assertTrue(err().contains("ravi:1 won with version 1"), err());
        assertEquals(mApi.spec("in-force/preset").path("preset").asText(), "peak");
    }

    // The change is applied, but its response is lost. A retry would fail the version check and
    // report a conflict with the operator's own change, so the client reads the object instead.
    @Test
    public void lostResponseIsResolvedByChangeId() {
        mApi.loseResponses(FakeOperatorApi.ResponseLoss.AFTER_CHANGE);

        ExitCode code = run("preset", "use", "ordinary");

        assertEquals(code, ExitCode.DONE, err());
        assertEquals(mApi.changeRequests(), 1);
    }

    // The response is lost and the object does not contain the change. The change may still be in
    // flight, so it is reported as unknown, neither as applied nor as not applied.
    @Test
    public void unresolvedChangeIsReportedAsUnknown() {
        mApi.loseResponses(FakeOperatorApi.ResponseLoss.BEFORE_CHANGE);

        ExitCode code = run("preset", "use", "ordinary");

        assertEquals(code, ExitCode.UNKNOWN);
        assertEquals(mApi.changeRequests(), 1);
    }

    // The platform does not respond to the entry host, which reports an unknown outcome. A change
    // may have been applied, but a list changes nothing: scripts must not get the exit code of an
    // unknown change for it.
    @Test
    public void onlyChangesHaveUnknownOutcome() {
        mApi.reportUnknownOutcomes();

        assertEquals(run("preset", "use", "ordinary"), ExitCode.UNKNOWN);
        assertEquals(run("service", "list"), ExitCode.REFUSED);
    }

    @Test
    public void failsOverToNextServerWhenOneIsUnreachable() {
        List<String> line = new ArrayList<>(List.of("--server", "127.0.0.1:1"));
        line.addAll(List.of("preset", "use", "ordinary"));

        assertEquals(run(line.toArray(String[]::new)), ExitCode.DONE, err());
        assertEquals(runBare("--server", "127.0.0.1:1", "service", "list"), ExitCode.UNREACHABLE);
    }

    @Test
    public void waitsUntilPresetIsInForceOnAllHosts() {
        mApi.statuses(status("peak", 0, 1), status("ordinary", 1, 2), status("ordinary", 1, 3));

        ExitCode code = run("preset", "use", "ordinary", "--wait", "--output", "json");

        assertEquals(code, ExitCode.DONE, err());
        assertEquals(Json.read(out()).orElseThrow().path("hostsInForce").asInt(), 3);
        assertEquals(mClock.millis(), 400);
    }

    @Test
    public void reportsHostCountWhenWaitTimesOut() {
        mApi.statuses(status("ordinary", 1, 2));

        ExitCode code = run("preset", "use", "ordinary", "--wait", "--timeout", "2");

        assertEquals(code, ExitCode.TIMED_OUT);
        assertTrue(err().contains("2 of 3 live entry hosts"), err());
        assertEquals(mClock.millis(), 2_000);
    }

    @Test
    public void stopsWaitingForSupersededPreset() {
        mApi.statuses(status("maintenance", 2, 1));

        ExitCode code = run("preset", "use", "ordinary", "--wait");

        assertEquals(code, ExitCode.CONFLICT);
        assertTrue(err().contains("superseded by preset maintenance"), err());
    }

    @Test
    public void showsStatusAndExplanations() {
        mApi.statuses(status("ordinary", 1, 3));

        assertEquals(run("status"), ExitCode.DONE);
        assertTrue(out().contains("queue-full  7"), out());
        assertFalse(out().contains("team-limit"), out());
        assertEquals(run("explain", "r-1"), ExitCode.DONE);
        assertTrue(out().contains("3            placed  d1"), out());
        assertEquals(run("explain", "r-2"), ExitCode.NOT_FOUND);
    }

    @DataProvider
    public Object[][] misuses() {
        return new Object[][] {
            {"service apply", "needs -f FILE"},
            {"cats list", "no such command"},
            {"service list --wait", "takes no --wait"},
            {"preset use", "no such command"},
            {"preset use a --expect-version x", "takes a number"},
            {"preset use a --wait --timeout -4", "out of range"},
            {"status --output xml", "table or json"},
            {"status --server entry:7100", "IP:PORT"},
            {"status --colour", "colour"},
        };
    }

    @Test(dataProvider = "misuses")
    public void rejectsInvalidCommandLine(String line, String message) {
        assertEquals(runBare(line.split(" ")), ExitCode.USAGE);
        assertTrue(err().contains(message), err());
    }

    @DataProvider
    public Object[][] badFiles() {
        return new Object[][] {
            {"[[servise]]\nname = \"a\"", "unknown section servise"},
            {"[[service]]\nkind = \"MODEL\"", "no usable name"},
            {"[[service]]\nname = \"a\"\n[[service]]\nname = \"a\"", "twice"},
            {"[[service]", "line 1"},
            {"", "declares no objects"},
        };
    }

    @Test(dataProvider = "badFiles")
    public void rejectsBadFileBeforeSendingAnything(String text, String message)
            throws IOException {
        assertEquals(run("apply", "-f", file(text)), ExitCode.BAD_FILE);
        assertTrue(err().contains(message), err());
        assertEquals(mApi.changeRequests(), 0);
    }

    @Test
    public void applyOfOneKindRejectsOtherKinds() throws IOException {
        assertEquals(run("service", "apply", "-f", file(OBJECTS)), ExitCode.BAD_FILE);
        assertTrue(err().contains("unknown section"), err());
    }

    @Test
    public void helpListsEveryExitCode() {
        assertEquals(run("--help"), ExitCode.DONE);
        String help = out();

        Arrays.stream(ExitCode.values())
                .forEach(code -> assertTrue(help.contains(code.meaning()), help));
        assertEquals(run("preset", "use", "--help"), ExitCode.DONE);
        assertTrue(out().contains("--timeout") && !out().contains("explain REQUEST"), out());
    }

    private JsonNode status(String preset, long version, int hostsInForce) {
        var status = Json.object();
        status.put("presetInForce", preset);
        status.put("inForceVersion", version);
        status.put("hostsInForce", hostsInForce);
        status.put("hostsAlive", 3);
        status.set("refusals", Json.object().put("queue-full", 7).put("team-limit", 0));
        return status;
    }

    private ExitCode run(String... line) {
        // The same server is listed twice, so that a change sent to both entry hosts is counted
        // twice.
        String server = "127.0.0.1:" + mServer.activeLocalPort();
        List<String> arguments = new ArrayList<>(Arrays.asList(line));
        arguments.addAll(List.of("--server", server, "--server", server));
        return runBare(arguments.toArray(String[]::new));
    }

    private ExitCode runBare(String... line) {
        mOut = new ByteArrayOutputStream();
        mErr = new ByteArrayOutputStream();
        Cyclamenctl program =
                new Cyclamenctl(
                        servers ->
                                new Session(
                                        new HttpOperatorClient(servers),
                                        () -> new ChangeId("meena:" + ++mChanges),
                                        mClock,
                                        mClock::advance),
                        new PrintStream(mOut, true, StandardCharsets.UTF_8),
                        new PrintStream(mErr, true, StandardCharsets.UTF_8));
        return program.run(line);
    }

    private String out() {
        return mOut.toString(StandardCharsets.UTF_8);
    }

    private String err() {
        return mErr.toString(StandardCharsets.UTF_8);
    }

    private static String file(String text) throws IOException {
        Path file = Files.createTempFile("objects", ".toml");
        file.toFile().deleteOnExit();
        return Files.writeString(file, text).toString();
    }
}
