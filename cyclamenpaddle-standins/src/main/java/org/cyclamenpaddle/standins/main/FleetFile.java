package org.cyclamenpaddle.standins.main;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.cyclamenpaddle.standins.engine.EngineSettings;
import org.cyclamenpaddle.standins.http.Answers;

/**
 * Stand-ins to start in one process, as a JSON file gives them.
 *
 * @param platformPorts ports of platforms
 * @param plainPorts ports of plain services
 * @param engines ports and settings of engines
 */
record FleetFile(List<Integer> platformPorts, List<Integer> plainPorts, List<EngineEntry> engines) {

    FleetFile {
        platformPorts = platformPorts == null ? List.of() : List.copyOf(platformPorts);
        plainPorts = plainPorts == null ? List.of() : List.copyOf(plainPorts);
        engines = engines == null ? List.of() : List.copyOf(engines);
    }

    /** One engine of the file. */
    record EngineEntry(int port, JsonNode settings) {

        EngineSettings engineSettings() {
            return Optional.ofNullable(settings)
                    .map(EngineSettings::fromTree)
                    .orElse(EngineSettings.DEFAULT);
        }
    }

    static FleetFile read(Path file) throws IOException {
        return Answers.JSON.readValue(file.toFile(), FleetFile.class);
    }
}
