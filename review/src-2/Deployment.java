import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A small deployment: a store, relays and a record, in a temporary folder. */
final class Deployment implements AutoCloseable {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    final Record record;
    final Store store;
    final Path folder;
    final List<Relay> relays = new ArrayList<>();
    final List<Runner> runners = new ArrayList<>();

    Deployment(Path caseFolder, long staleMillis) throws IOException {
        record = new Record(caseFolder.resolve("record.txt"));
        folder = Files.createTempDirectory("review-2-");
        store = new Store(staleMillis);
        record.line("TROUBLE=" + (TROUBLE ? 1 : 0));
    }

    Runner runner(String id, String service, long workMillis) throws IOException {
        Runner runner = new Runner(id, service, workMillis, record);
        runners.add(runner);
        store.put("servers", id, runner.entry("ready"));
        return runner;
    }

    void configure(int version, String routes, String services) {
        store.put(
                "config",
                "main",
                "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":["
                        + services
                        + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
        record.line("the store has acknowledged configuration " + version);
    }

    static String route(
            String name, String prefix, String kind, int timeout, int target, int attempts,
            String service) {
        return "{\"name\":\"" + name + "\",\"host\":\"desk.example\",\"path_prefix\":\"" + prefix
                + "\",\"route_kind\":\"" + kind + "\",\"timeout_ms\":" + timeout
                + ",\"target_latency_ms\":" + target + ",\"priority\":1,\"service\":\"" + service
                + "\",\"max_attempts\":" + attempts + "}";
    }

    static String service(String name) {
        return "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_connections\":360,"
                + "\"protocol\":\"h1\",\"tls\":false}";
    }

    /** Starts relays in one zone and waits until they are ready. */
    void startRelays(int count) throws Exception {
        startRelays(Collections.nCopies(count, "z1"));
    }

    /** Starts a relay in each of the zones given and waits until all are ready. */
    void startRelays(List<String> zones) throws Exception {
        for (String zone : zones) {
            String name = "relay-" + (relays.size() + 1);
            Relay relay = new Relay(name, zone, folder, store.web.port());
            relays.add(relay);
            relay.start();
        }
        for (Relay relay : relays) {
            relay.awaitReady(25_000);
        }
        record.line(zones.size() + " relays are ready");
    }

    static String request(String id, int deadlineMillis) {
        return "Cyclamenpaddle-Attempt-Id: " + id + "\r\nCyclamenpaddle-Deadline-Ms: "
                + deadlineMillis + "\r\n";
    }

    /** Sends one request on a new connection; the result is its status and body, or its end. */
    String call(Relay relay, String method, String path, String id, int deadlineMillis) {
        record.line("client sends " + id + " " + path + " to " + relay.name);
        String result;
        try (Caller caller = new Caller(relay.port, deadlineMillis + 500)) {
            Caller.Answer answer =
                    caller.call(
                            method,
                            path,
                            request(id, deadlineMillis),
                            method.equals("GET") ? "" : "lot");
            result = answer.status() + " " + answer.body();
        } catch (IOException ended) {
            result = "no answer: " + ended.getMessage();
        }
        record.line("client got for " + id + ": " + result.strip());
        return result;
    }

    @Override
    public void close() throws IOException {
        for (Relay relay : relays) {
            if (relay.log.toFile().exists()) {
                for (String line : Files.readAllLines(relay.log)) {
                    if (line.matches(".*CP2(011|010|101|102|103|106|107|123).*|.*Error.*")) {
                        record.line("log " + line);
                    }
                }
            }
            relay.close();
        }
        for (Runner runner : runners) {
            runner.close();
        }
        store.close();
        if (System.getenv("KEEP_LOGS") == null) {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        }
        record.close();
    }
}
