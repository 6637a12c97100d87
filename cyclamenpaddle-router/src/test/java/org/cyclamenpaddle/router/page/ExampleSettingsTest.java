package org.cyclamenpaddle.router.page;

import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.cyclamenpaddle.router.settings.RouterSettings;
import org.cyclamenpaddle.router.settings.SettingsError;
import org.cyclamenpaddle.router.settings.SettingsReader;
import org.testng.annotations.Test;

public class ExampleSettingsTest {

    @Test
    public void everyExampleIsAccepted() throws IOException {
        List<Path> files;
        try (Stream<Path> all = Files.walk(Path.of("..", "examples"))) {
            files = all.filter(f -> f.getFileName().toString().startsWith("entry-")).toList();
        }

        assertTrue(files.size() >= 4, files.toString());
        for (Path file : files) {
            Either<SettingsError, RouterSettings> settings = SettingsReader.read(file);
            assertTrue(settings.isRight(), settings.toString());
        }
    }
}
