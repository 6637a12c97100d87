package org.cyclamenpaddle.ctl.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.OptionalLong;
import org.cyclamenpaddle.ctl.report.CommandError;
import org.cyclamenpaddle.ctl.report.ExitCode;
import org.cyclamenpaddle.ctl.report.Report;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the summary of relay logs. */
public class LogReportCommandTest {

    private static final String LOG =
            line(
                            "01.2",
                            "CP2201",
                            "'route':'r1','sends':1,'millis':900,'firstMillis':300,"
                                    + "'placeMillis':100,'pauseMillis':60")
                    + line("01.9", "CP2201", "'route':'r1','sends':2,'millis':80,'placeMillis':-1")
                    + line("00.5", "CP2202", "'route':'r1','told':503,'reason':'no room'")
                    + line("01.1", "CP2202", "'route':'r2','told':502,'reason':'reset'")
                    + line("01.3", "CP2203", "'route':'r2','reason':'reset'")
                    + line("01.4", "CP2204", "'route':'r2'")
                    + line("01.5", "CP2106", "'backend':'i-1'");

    private Path mFile;

    @BeforeMethod
    public void createFile() throws IOException {
        mFile = Files.createTempFile("relay", ".log");
    }

    @AfterMethod(alwaysRun = true)
    public void delete() throws IOException {
        Files.delete(mFile);
    }

    private static String line(String second, String code, String fields) {
        String line =
                "{'time':'2026-08-01T10:00:%sZ','node':'h1','code':'%s','event':'e',%s}%n"
                        .formatted(second, code, fields);
        return line.replace("'", "\"");
    }

    private Either<CommandError, Report> report(String text) throws IOException {
        Files.writeString(mFile, text);
        Arguments arguments =
                new Arguments(
                        Optional.empty(),
                        "",
                        mFile.toString(),
                        OptionalLong.empty(),
                        OptionalLong.empty());
        return LogReportCommand.run(arguments, null);
    }

    @Test
    public void requestEndsAreCountedBySecondRouteAndReason() throws IOException {
        JsonNode summary = report(LOG).get().document();
        assertEquals(summary.path("seconds").size(), 2);
        assertEquals(summary.path("seconds").path(0).path("refused").asLong(), 1);
        JsonNode second = summary.path("seconds").path(1);
        assertEquals(second.path("answered").asLong(), 2);
        assertEquals(second.path("sentAgain").asLong(), 1);
        assertEquals(second.path("failed").asLong(), 1);
        assertEquals(second.path("cut").asLong(), 1);
        assertEquals(second.path("gone").asLong(), 1);
        assertEquals(summary.path("routes").path(0).path("place50").asLong(), 100);
        assertEquals(summary.path("routes").path(0).path("read50").asLong(), 200);
        assertEquals(summary.path("routes").path(0).path("pause95").asLong(), 60);
        assertEquals(summary.path("reasons").path(1).path("reason").asText(), "reset");
        assertEquals(summary.path("reasons").path(1).path("requests").asLong(), 2);
    }

    /** A truncated line, a line of another program, a stack trace and an array are skipped. */
    @Test
    public void foreignLinesAreSkippedAndCounted() throws IOException {
        String mixed = LOG.substring(0, 40) + "\n" + LOG + "{'a':1}\n  at java.lang.Thread\n[]\n";
        JsonNode summary = report(mixed).get().document();
        assertEquals(summary.path("skippedLines").asLong(), 4);
        assertEquals(summary.path("seconds").size(), 2);
    }

    @Test
    public void fileWithoutRequestsIsReported() throws IOException {
        CommandError error = report("not ours\n").getLeft();
        assertEquals(error.code(), ExitCode.NOT_FOUND);
        assertTrue(error.message().contains("1 lines are not decision lines"), error.message());
    }
}
