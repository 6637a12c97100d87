package org.cyclamenpaddle.standins.main;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.cyclamenpaddle.standins.engine.EngineSettings;
import org.cyclamenpaddle.standins.engine.EngineStandin;
import org.cyclamenpaddle.standins.http.JsonResponses;
import org.cyclamenpaddle.standins.plain.PlainServiceStandin;
import org.cyclamenpaddle.standins.platform.ListedHost;
import org.cyclamenpaddle.standins.platform.PlatformStandin;

/**
 * JSON file that lists the stand-ins to start in one process.
 *
 * @param platformPorts ports of the platform stand-ins
 * @param plainPorts ports of the plain services
 * @param engines ports and settings of the engines
 * @param hosts entry hosts in the host list of every platform stand-in
 */
record FleetFile(
        List<Integer> platformPorts,
        List<Integer> plainPorts,
        List<EngineEntry> engines,
        List<ListedHost> hosts) {

    FleetFile {
        platformPorts = platformPorts == null ? List.of() : List.copyOf(platformPorts);
        plainPorts = plainPorts == null ? List.of() : List.copyOf(plainPorts);
        engines = engines == null ? List.of() : List.copyOf(engines);
        hosts = hosts == null ? List.of() : List.copyOf(hosts);
    }

    /** Port and settings of an engine. */
    record EngineEntry(int port, JsonNode settings) {

        EngineSettings engineSettings() {
            return Optional.ofNullable(settings)
                    .map(EngineSettings::fromTree)
                    .orElse(EngineSettings.DEFAULT);
        }
    }

    static FleetFile read(Path file) throws IOException {
        return JsonResponses.JSON.readValue(file.toFile(), FleetFile.class);
    }

    /** Starts all stand-ins of the file; they run until the process exits. */
    void start() {
        platformPorts.forEach(this::startPlatform);
        plainPorts.forEach(port -> new PlainServiceStandin().start(port));
        engines.forEach(engine -> new EngineStandin(engine.engineSettings()).start(engine.port()));
    }

    private void startPlatform(int port) {
        PlatformStandin platform = new PlatformStandin();
        platform.hosts(hosts, 0);
        platform.start(port);
    }
}
