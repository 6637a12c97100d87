package org.cyclamenpaddle.router.assembly;

import io.vavr.control.Either;
import io.vavr.control.Try;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.cyclamenpaddle.router.event.EventLog;
import org.cyclamenpaddle.router.event.LogEvent;
import org.cyclamenpaddle.router.event.LogOutput;
import org.cyclamenpaddle.router.settings.RouterSettings;
import org.cyclamenpaddle.router.settings.SettingsError;
import org.cyclamenpaddle.router.settings.SettingsReader;

/** Entry point of the program {@code cyclamenpaddle}. */
public final class RouterMain {

    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;
    private static final int EXIT_SETTINGS = 3;
    private static final int EXIT_INVARIANT = 70;

    private static final Option SETTINGS =
            Option.builder()
                    .longOpt("settings")
                    .hasArg()
                    .argName("FILE")
                    .desc("run an entry host with these settings")
                    .get();
    private static final Option CHECK =
            Option.builder()
                    .longOpt("check-settings")
                    .hasArg()
                    .argName("FILE")
                    .desc("check these settings and exit")
                    .get();

    private RouterMain() {}

    /** Runs an entry host, or checks a settings file. */
    public static void main(String[] args) {
        // Armeria would otherwise use io_uring where it is available, which operators do not allow.
        System.setProperty("com.linecorp.armeria.transportType", "nio");
        Options options = new Options().addOption(SETTINGS).addOption(CHECK);
        Try<CommandLine> line = Try.of(() -> new DefaultParser().parse(options, args));
        if (line.isFailure() || !line.get().getArgList().isEmpty()) {
            usage(line.isFailure() ? line.getCause().getMessage() : "unexpected argument");
            return;
        }
        String check = line.get().getOptionValue(CHECK);
        String settings = line.get().getOptionValue(SETTINGS);
        if (check != null) {
            check(Path.of(check));
        } else if (settings != null) {
            run(Path.of(settings));
        } else {
            usage("either --settings or --check-settings is required");
        }
    }

    private static void usage(String problem) {
        System.err.println("cyclamenpaddle: " + problem);
        System.err.println("usage: cyclamenpaddle --settings FILE | --check-settings FILE");
        System.exit(EXIT_USAGE);
    }

    private static void check(Path file) {
        Either<SettingsError, RouterSettings> settings = SettingsReader.read(file);
        if (settings.isLeft()) {
            System.err.println("cyclamenpaddle: " + settings.getLeft());
            System.exit(EXIT_SETTINGS);
        }
        System.out.println(file + ": ok");
    }

    private static void run(Path file) {
        Either<SettingsError, RouterSettings> settings = SettingsReader.read(file);
        if (settings.isLeft()) {
            System.err.println("cyclamenpaddle: " + settings.getLeft());
            System.exit(EXIT_SETTINGS);
            return;
        }
        LogOutput.configure(settings.get().log());
        EventLog log = new EventLog();
        // Invariant violations on I/O threads of libraries surface only as uncaught exceptions.
        Thread.setDefaultUncaughtExceptionHandler(
                (thread, failure) -> haltOnInvariantViolation(log, failure));
        EntryHost host =
                new EntryHost(settings.get(), failure -> haltOnInvariantViolation(log, failure));
        Try<Void> started = host.start();
        if (started.isFailure()) {
            System.err.println("cyclamenpaddle: cannot start: " + started.getCause());
            System.exit(EXIT_FAILED);
            return;
        }
        stopOnSignal(host);
    }

    /**
     * Registers a shutdown hook that runs the planned stop on SIGTERM and SIGINT; the process ends
     * when it returns.
     */
    private static void stopOnSignal(EntryHost host) {
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    host.stop().join();
                                    host.close();
                                },
                                "planned-stop"));
        Try.run(() -> TimeUnit.DAYS.sleep(Integer.MAX_VALUE));
        System.exit(EXIT_OK);
    }

    private static void haltOnInvariantViolation(EventLog log, Throwable failure) {
        log.log(LogEvent.INVARIANT_VIOLATED, failure);
        failure.printStackTrace();
        // No planned stop, since it would rely on the state that was found to be inconsistent.
        Runtime.getRuntime().halt(EXIT_INVARIANT);
    }
}
