package org.cyclamenpaddle.relay.log;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import org.testng.annotations.Test;

/** Tests that the documented events match the program. */
public class EventsPageTest {

    private static final Path PAGE =
            Path.of("").toAbsolutePath().getParent().resolve("docs/RELAY.md");

    @Test
    public void everyEventIsDocumentedWithItsFields() throws IOException {
        List<String> documented =
                Files.readAllLines(PAGE).stream()
                        .filter(line -> line.startsWith("| `CP2"))
                        .map(
                                line ->
                                        line.split(" \\| ")[0]
                                                + " | "
                                                + line.split(" \\| ")[1]
                                                + " | "
                                                + line.split(" \\| ")[2])
                        .toList();
        List<String> program =
                Arrays.stream(RelayEvent.values())
                        .map(
                                event ->
                                        "| `"
                                                + event.code()
                                                + "` | "
                                                + event.text()
                                                + " | "
                                                + event.fields().stream()
                                                        .map(field -> "`" + field + "`")
                                                        .collect(Collectors.joining(", ")))
                        .sorted()
                        .toList();
        assertEquals(documented.stream().sorted().toList(), program);
    }
}
