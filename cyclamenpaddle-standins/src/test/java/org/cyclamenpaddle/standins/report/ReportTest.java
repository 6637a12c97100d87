package org.cyclamenpaddle.standins.report;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ReportTest {

    private Path mDirectory;

    @BeforeMethod
    public void makeDirectory() throws IOException {
        mDirectory = Files.createTempDirectory("report");
    }

    @AfterMethod
    public void removeDirectory() throws IOException {
        try (Stream<Path> files = Files.walk(mDirectory)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }

    @Test
    public void summariesAreReadAsWritten() throws IOException {
        SummaryFiles.write(mDirectory, run("a", 1, 90));
        assertEquals(SummaryFiles.read(mDirectory), List.of(run("a", 1, 90)));
    }

    @Test
    public void seedsAreMergedByMedianAndFaultsAreSummed() {
        List<MergedRuns> merged =
                MergedRuns.of(
                        List.of(
                                run("b", 1, 50),
                                run("a", 1, 90),
                                run("a", 2, 10),
                                run("a", 3, 80)));
        assertEquals(
                merged.stream().map(MergedRuns::policy).collect(Collectors.toList()),
                List.of("a", "b"));
        assertEquals(merged.get(0).goodShare(), 0.8, 1e-9);
        assertEquals(merged.get(0).goodPerSecond(), 8.0, 1e-9);
        assertEquals(merged.get(0).wastedShare(), 0.25, 1e-9);
        assertEquals(merged.get(0).wrong(), 3);
        assertEquals(merged.get(0).refusals(), Map.of("queue-full", 6L));
    }

    @Test
    public void reportWritesTableDataAndPlots() throws IOException {
        SummaryFiles.write(mDirectory, run("a", 1, 90));
        String table = Report.write(mDirectory);
        assertTrue(table.contains("| sabarmati | 0.90 | a | 1 | 10.00 | 9.00 | 0.900 |"), table);
        assertEquals(Files.readString(mDirectory.resolve(Report.TABLE)), table);
        assertTrue(Files.size(mDirectory.resolve("sabarmati-goodput.png")) > 0);
        assertTrue(Files.size(mDirectory.resolve("sabarmati-wasted-prefill.png")) > 0);
    }

    private static RunSummary run(String policy, long seed, long good) {
        Latency latency = new Latency(100, 1, 2, 3);
        return new RunSummary(
                policy,
                "sabarmati",
                0.9,
                seed,
                1,
                10,
                11.1,
                100,
                good,
                Map.of("wrong", 1L, "whole", 97L, "refused", 2L),
                Map.of("queue-full", 2L),
                Map.of("queue-full", 2L),
                Map.of(),
                4_000,
                1_000,
                0,
                0,
                latency,
                latency);
    }
}
