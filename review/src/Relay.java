import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A relay process, started by the run line of deploy/system.toml with its template filled in. */
final class Relay implements AutoCloseable {

    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final Pattern SECTION = Pattern.compile("(?s)\\{\\{#([a-z_.]+)}}\n?(.*?)\\{\\{/\\1}}\n?");
    private static final Pattern PLACE = Pattern.compile("\\{\\{([a-z_.0-9]+)}}");

    private static final Random RANDOM = new Random();
    private static final Set<Integer> USED = new HashSet<>();

    final String name;
    final int front;
    final int ready;
    private final Path mSettings;
    private final Path mLog;
    private Process mProcess;

    Relay(String name, int storePort, Path folder, String zone) throws IOException {
        this.name = name;
        front = freePort();
        ready = freePort();
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("node_name", name);
        fields.put("zone", zone);
        fields.put("ip", "127.0.0.1");
        fields.put("listen.front", "127.0.0.1:" + front);
        fields.put("listen.ready_addr", "127.0.0.1:" + ready);
        fields.put("internal_ports.0", String.valueOf(freePort()));
        fields.put("internal_ports.1", String.valueOf(freePort()));
        fields.put("platform.address", "127.0.0.1:" + storePort);
        fields.put("bounds.grace_s", "8");
        fields.put("bounds.retry_budget_ratio", "0.2");
        fields.put("bounds.retry_slack", "52");
        fields.put("bounds.retry_window_s", "10");
        fields.put("limits.memory_mb", "280");
        String text = Files.readString(Path.of("deploy/relay.toml.template"));
        text = SECTION.matcher(text).replaceAll(m -> Matcher.quoteReplacement(fields.containsKey(m.group(1)) ? m.group(2) : ""));
        text = PLACE.matcher(text).replaceAll(m -> Matcher.quoteReplacement(fields.get(m.group(1))));
        mSettings = folder.resolve(name + ".toml");
        mLog = folder.resolve(name + ".log");
        Files.writeString(mSettings, text);
    }

    /** Returns a free port below those that the system gives to outgoing connections. */
    static synchronized int freePort() throws IOException {
        for (int i = 0; i < 1_000; i++) {
            int port = 15_000 + RANDOM.nextInt(15_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                if (USED.add(port)) {
                    return port;
                }
            } catch (IOException inUse) {
                // Another one is tried.
            }
        }
        throw new IOException("no free port");
    }

    void start() throws IOException {
        Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
        run.find();
        List<String> words = new ArrayList<>(List.of(run.group(1).split(" ")));
        ProcessBuilder builder = new ProcessBuilder(words);
        builder.environment().put("CYCLAMENPADDLE_SETTINGS", mSettings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(mLog.toFile()));
        mProcess = builder.start();
        Process process = mProcess;
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    boolean alive() {
        return mProcess.isAlive();
    }

    long pid() {
        return mProcess.pid();
    }

    int readiness() {
        try {
            HttpURLConnection check = (HttpURLConnection) new URL("http://127.0.0.1:" + ready + "/v1/ready").openConnection();
            check.setConnectTimeout(1_000);
            check.setReadTimeout(1_000);
            return check.getResponseCode();
        } catch (IOException failure) {
            return -1;
        }
    }

    /** Waits until the relay is ready, and returns whether it became so in time. */
    boolean awaitReady(long millis) throws InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < end) {
            if (readiness() == 200) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    String log() throws IOException {
        return Files.readString(mLog);
    }

    @Override
    public void close() {
        if (mProcess != null) {
            mProcess.destroyForcibly();
        }
    }
}
