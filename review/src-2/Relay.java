import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One relay of the project as a process, started with the command of deploy/system.toml. */
final class Relay implements AutoCloseable {
    static final int MEMORY_MB = 280;

    final String name;
    final int port;
    final int checkPort;
    final Path log;
    private final Path mSettings;
    private Process mProcess;

    /** Writes the settings of a relay; they are those of deploy/relay.toml.template. */
    Relay(String name, String zone, Path folder, int storePort) throws IOException {
        this.name = name;
        port = Ports.next();
        checkPort = Ports.next();
        log = folder.resolve(name + ".log");
        mSettings = folder.resolve(name + ".toml");
        Files.writeString(
                mSettings,
                String.join(
                        "\n",
                        "[host]",
                        "name = \"" + name + "\"",
                        "domain = \"" + zone + "\"",
                        "[listen]",
                        "callers = \"127.0.0.1:" + port + "\"",
                        "checks = \"127.0.0.1:" + checkPort + "\"",
                        "peers = \"127.0.0.1:" + Ports.next() + "\"",
                        "requests = \"127.0.0.1:" + Ports.next() + "\"",
                        "[store]",
                        "address = \"127.0.0.1:" + storePort + "\"",
                        "[stop]",
                        "graceSeconds = 8",
                        "[retry]",
                        "share = 0.2",
                        "slack = 52",
                        "windowSeconds = 10",
                        "[limits]",
                        "memoryMb = " + MEMORY_MB,
                        ""));
    }

    /** Returns the words of the run line of the deploy file. */
    private static List<String> command() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                return new ArrayList<>(List.of(run.split(" ")));
            }
        }
        throw new IOException("no run line in deploy/system.toml");
    }

    /** Starts the process; a host of the deployment has 280 MB, which its Java machine is told. */
    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.environment().put("CYCLAMENPADDLE_SETTINGS", mSettings.toString());
        builder.environment().put("JAVA_TOOL_OPTIONS", "-XX:MaxRAM=" + MEMORY_MB + "m");
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        mProcess = builder.start();
        Process started = mProcess;
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
    }

    boolean alive() {
        return mProcess.isAlive();
    }

    long pid() {
        return mProcess.pid();
    }

    /** Returns whether the check of the platform's balancer succeeds. */
    boolean ready() {
        try (Caller caller = new Caller(checkPort, 1_000)) {
            return caller.call("GET", "/v1/ready", "", "").status() == 200;
        } catch (IOException notReady) {
            return false;
        }
    }

    void awaitReady(long millis) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!ready()) {
            if (System.nanoTime() > end || !alive()) {
                throw new IllegalStateException(name + " is not ready");
            }
            Thread.sleep(50);
        }
    }

    /** Sends a signal to the process. */
    void signal(String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, String.valueOf(pid())).start().waitFor();
    }

    @Override
    public void close() {
        if (mProcess != null) {
            mProcess.destroyForcibly();
        }
    }
}
