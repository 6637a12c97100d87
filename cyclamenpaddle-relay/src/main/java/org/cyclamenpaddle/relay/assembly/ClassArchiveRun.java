package org.cyclamenpaddle.relay.assembly;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpRequest;
import io.vavr.control.Try;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.IntFunction;
import org.cyclamenpaddle.http.CleartextClients;
import org.cyclamenpaddle.relay.log.LibraryLog;
import org.cyclamenpaddle.relay.log.RelayEventLog;
import org.cyclamenpaddle.relay.settings.RelaySettings;
import org.cyclamenpaddle.relay.settings.RelaySettingsReader;

/**
 * Runs two relays on loopback through requests of several kinds and exits.
 *
 * <p>The build records the classes that this run loads in a class data archive; with it, a process
 * starts with about a third of the processor time. A class that the run does not load is read from
 * its jar file by each process that needs it, at several times the cost. So the run covers what a
 * host does at its start and in its first seconds: settings from a file, teams with quotas, whose
 * messages need a second host, the lease on orders, refusals, and failures of servers. None of this
 * code runs in a deployment.
 */
public final class ClassArchiveRun {

    private static final int ROUNDS = 30;
    private static final long MAX_WAIT_MILLIS = 10_000;
    private static final long POLL_MILLIS = 20;

    /** Time for the periodic work of both relays, such as reports of quotas and the lease. */
    private static final long PERIODIC_WORK_MILLIS = 6_000;

    private static final String SETTINGS =
            """
            [host]
            name = "%1$s"
            domain = "%2$s"
            [listen]
            callers = "127.0.0.1:0"
            checks = "127.0.0.1:0"
            peers = "127.0.0.1:0"
            [store]
            address = "127.0.0.1:%3$d"
            [stop]
            graceSeconds = 1
            [retry]
            share = 0.2
            slack = 50
            windowSeconds = 10
            [quota]
            windowSeconds = 8
            overage = 0.1
            slack = 1000
            """;

    private final int mStorePort;
    private final Function<RelaySettings, PlatformAdapter> mAdapter;
    private final IntFunction<List<HttpRequest>> mRequests;

    /**
     * Creates a run.
     *
     * @param storePort port of a stand-in of the store on loopback
     * @param adapter creates the adapter to the platform
     * @param requests returns the requests of a round
     */
    public ClassArchiveRun(
            int storePort,
            Function<RelaySettings, PlatformAdapter> adapter,
            IntFunction<List<HttpRequest>> requests) {
        mStorePort = storePort;
        mAdapter = adapter;
        mRequests = requests;
    }

    /** Runs the relays and ends the process. */
    public void run() {
        RelayEventLog log =
                new RelayEventLog(OutputStream.nullOutputStream(), "class-archive", Instant::now);
        log.start();
        LibraryLog.install(log);
        RelayProcess first = start("class-archive-1", "d", log);
        await(first::ready);
        RelayProcess second = start("class-archive-2", "e", log);
        Signals.onStop(second::stop);
        Signals.onReload(second::reload);
        await(second::ready);
        sendRequests(List.of(first, second));
        second.reload();
        // An orderly exit, which writes the archive.
        System.exit(0);
    }

    private RelayProcess start(String name, String domain, RelayEventLog log) {
        Path file = settingsFile(SETTINGS.formatted(name, domain, mStorePort));
        RelaySettings settings = RelaySettingsReader.read(file).get();
        RelayProcess process =
                new RelayProcess(
                        settings,
                        () -> RelaySettingsReader.read(file),
                        mAdapter.apply(settings),
                        log);
        process.start().get();
        return process;
    }

    private static Path settingsFile(String text) {
        try {
            Path file = Files.createTempFile("class-archive", ".toml");
            file.toFile().deleteOnExit();
            return Files.writeString(file, text);
        } catch (IOException unwritable) {
            throw new UncheckedIOException(unwritable);
        }
    }

    private static void await(BooleanSupplier condition) {
        for (long waited = 0;
                !condition.getAsBoolean() && waited < MAX_WAIT_MILLIS;
                waited += POLL_MILLIS) {
            pause(POLL_MILLIS);
        }
    }

    private static void pause(long millis) {
        Try.run(() -> TimeUnit.MILLISECONDS.sleep(millis));
    }

    private void sendRequests(List<RelayProcess> processes) {
        ClientFactory factory = CleartextClients.factory().build();
        for (int round = 0; round < ROUNDS; round++) {
            for (RelayProcess process : processes) {
                WebClient callers = client(factory, process.callerPort());
                mRequests.apply(round).forEach(request -> response(callers, request).join());
            }
            pause(PERIODIC_WORK_MILLIS / ROUNDS);
        }
        WebClient checks = client(factory, processes.get(0).checkPort());
        checks.get("/v1/ready").aggregate().join();
        checks.get("/metrics").aggregate().join();
    }

    private static WebClient client(ClientFactory factory, int port) {
        return WebClient.builder("h1c://127.0.0.1:" + port).factory(factory).build();
    }

    /** Completes when the response ends, however it does. */
    private static CompletableFuture<?> response(WebClient callers, HttpRequest request) {
        return callers.execute(request).aggregate().handle((response, failure) -> response);
    }
}
