package org.cyclamenpaddle.ctl.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import org.cyclamenpaddle.ctl.report.ExitCode;
import org.testng.annotations.Test;

/** Checks that the operations page lists the commands and exit codes of the program. */
public class OperationsPageTest {

    private static final Path PAGE = Path.of("..", "docs", "OPERATIONS.md");

    @Test
    public void listsEveryCommand() throws IOException {
        String commands =
                Arrays.stream(CtlCommand.values())
                        .map(command -> "cyclamenctl " + command.usage())
                        .collect(Collectors.joining("\n"));

        assertTrue(Files.readString(PAGE).contains("```\n" + commands + "\n```"), commands);
    }

    @Test
    public void listsEveryExitCode() throws IOException {
        List<String> expected =
                Arrays.stream(ExitCode.values())
                        .map(
                                code ->
                                        "| %d | `%s` | %s |"
                                                .formatted(code.number(), code, code.meaning()))
                        .toList();

        List<String> rows =
                Files.readAllLines(PAGE).stream()
                        .filter(line -> line.matches("\\| \\d+ \\| `.*"))
                        .toList();

        assertEquals(rows, expected);
    }
}
