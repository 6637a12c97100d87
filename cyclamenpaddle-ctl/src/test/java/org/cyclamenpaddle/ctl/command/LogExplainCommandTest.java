package org.cyclamenpaddle.ctl.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.cyclamenpaddle.ctl.report.CommandError;
import org.cyclamenpaddle.ctl.report.ExitCode;
import org.cyclamenpaddle.ctl.report.Report;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that the log lines of relays that explain a request are found by its id. */
public class LogExplainCommandTest {

    private static final String LOG =
            line("00", "h1", "CP2108", "'backend':'i-1','cause':'reset'")
                    + line("09", "h2", "CP2108", "'backend':'i-1','cause':'reset'")
                    + "java.io.IOException: not a decision line\n"
                    + line("10.2", "h1", "CP2202", "'request':'r7','told':502,'reason':'reset'")
                    + line("10.1", "h1", "CP2205", "'request':'r7','backend':'i-1'")
                    + line("09.5", "h1", "CP2106", "'backend':'i-1','stage':'DECODE'")
                    + line("09.6", "h1", "CP2106", "'backend':'i-2','stage':'DECODE'")
                    + line("09.7", "h1", "CP2101", "'kind':'backends','failure':'NO_ANSWER'")
                    + line("10", "h1", "CP2201", "'request':'r8'");

    private Path mFile;

    @BeforeMethod
    public void write() throws IOException {
        mFile = Files.createTempFile("relay", ".log");
        Files.writeString(mFile, LOG);
    }

    @AfterMethod(alwaysRun = true)
    public void delete() throws IOException {
        Files.delete(mFile);
    }

    private static String line(String second, String node, String code, String fields) {
        String line =
                "{'time':'2026-08-01T10:00:%sZ','node':'%s','code':'%s','event':'e',%s}%n"
                        .formatted(second, node, code, fields);
        return line.replace("'", "\"");
    }

    private Either<CommandError, Report> explain(String request) {
        Arguments arguments =
                new Arguments(
                        Optional.empty(),
                        request,
                        mFile.toString(),
                        OptionalLong.empty(),
                        OptionalLong.empty());
        return LogExplainCommand.run(arguments, null);
    }

    /*
     * A caller received status 502. The lines of its request contain the backend server and the
     * reset of the connection; earlier lines of the same host contain the state changes of that
     * server and of the store.
     */
    @Test
    public void requestLinesAreShownInOrderWithPrecedingStateChanges() {
        Report report = explain("r7").get();
        List<String> codes = report.tables().get(0).rows().stream().map(row -> row.get(2)).toList();
        assertEquals(codes, List.of("CP2106", "CP2101", "CP2205", "CP2202"));
        assertTrue(report.tables().get(0).rows().get(3).get(4).contains("told=502 reason=reset"));
    }

    /** The attempt that began a stream is missing beside the one that took it up elsewhere. */
    @Test
    public void attemptsToGetOneStreamAreShownTogether() throws IOException {
        Files.writeString(
                mFile,
                line("01", "h1", "CP2203", "'request':'r1','stream':'ab'")
                        + line("02", "h2", "CP2222", "'request':'r2','stream':'ab'")
                        + line("03", "h2", "CP2201", "'request':'r2'")
                        + line("04", "h2", "CP2204", "'request':'r3','stream':'none'")
                        + line("05", "h2", "CP2204", "'request':'r4','stream':'none'"));
        assertEquals(explain("r1").get().tables().get(0).rows().size(), 3);
        assertEquals(explain("r2").get().tables().get(0).rows().size(), 3);
        assertEquals(explain("r3").get().tables().get(0).rows().size(), 1);
    }

    /** A server was passed over for a directive that it had sent long before the request. */
    @Test
    public void directivesInForceAreShown() throws IOException {
        String directives =
                line("01", "h1", "CP2114", "'backend':'i-3','directive':'LIMIT','value':'1.4'")
                        + line(
                                "02",
                                "h1",
                                "CP2114",
                                "'backend':'i-4','directive':'LIMIT','value':'2'")
                        + line(
                                "03",
                                "h1",
                                "CP2114",
                                "'backend':'i-4','directive':'LIMIT','value':'none'")
                        + line(
                                "04",
                                "h1",
                                "CP2114",
                                "'backend':'i-5','directive':'PAUSE','value':'3000'")
                        + line(
                                "08",
                                "h1",
                                "CP2114",
                                "'backend':'i-6','directive':'PAUSE','value':'3000'")
                        + line(
                                "08",
                                "h2",
                                "CP2114",
                                "'backend':'i-7','directive':'LEAVING','value':'true'")
                        + line(
                                "11",
                                "h1",
                                "CP2114",
                                "'backend':'i-8','directive':'LEAVING','value':'true'");
        Files.writeString(mFile, LOG + directives);
        List<String> backends =
                explain("r7").get().tables().get(0).rows().stream()
                        .filter(row -> row.get(2).equals("CP2114"))
                        .map(row -> row.get(4).split(" ")[0])
                        .toList();
        assertEquals(backends, List.of("backend=i-3", "backend=i-6"));
    }

    /** A request was handed over for a cut that had begun long before it. */
    @Test
    public void cutsInForceAreShown() throws IOException {
        String cuts =
                line("01", "h1", "CP2119", "'service':'book'")
                        + line("02", "h1", "CP2119", "'service':'read'")
                        + line("03", "h1", "CP2120", "'service':'read'")
                        + line("03", "h2", "CP2119", "'service':'book'")
                        + line("11", "h1", "CP2119", "'service':'read'");
        Files.writeString(mFile, LOG + cuts);
        List<String> services =
                explain("r7").get().tables().get(0).rows().stream()
                        .filter(row -> row.get(2).equals("CP2119"))
                        .map(row -> row.get(4).split(" ")[0])
                        .toList();
        assertEquals(services, List.of("service=book"));
    }

    @Test
    public void unknownRequestIsNotFound() {
        assertEquals(explain("r9").getLeft().code(), ExitCode.NOT_FOUND);
    }

    @Test
    public void missingFileIsReported() {
        Arguments arguments =
                new Arguments(
                        Optional.empty(),
                        "r7",
                        mFile + ".none",
                        OptionalLong.empty(),
                        OptionalLong.empty());
        assertEquals(LogExplainCommand.run(arguments, null).getLeft().code(), ExitCode.BAD_FILE);
    }
}
