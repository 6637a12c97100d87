package org.cyclamenpaddle.standins.main;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import java.io.IOException;
import java.util.Arrays;
import java.util.Optional;
import java.util.stream.Collectors;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.ParseException;
import org.slf4j.LoggerFactory;

/** Entry point of the program {@code cyclamenpaddle-standins}. */
public final class StandinsMain {

    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    private StandinsMain() {}

    /** Runs the subcommand that the first argument names. */
    public static void main(String[] args) {
        // Armeria would otherwise use io_uring where it is available, which users rule out.
        System.setProperty("com.linecorp.armeria.transportType", "nio");
        suppressLibraryLogs();
        Optional<Subcommand> command =
                Arrays.stream(args).findFirst().flatMap(Subcommand::fromCode);
        if (command.isEmpty()) {
            usage("expected a subcommand, one of: " + subcommands());
            return;
        }
        run(command.get(), Arrays.copyOfRange(args, 1, args.length));
    }

    private static void run(Subcommand command, String[] args) {
        try {
            CommandLine line = new DefaultParser().parse(command.options(), args);
            command.run(line);
        } catch (ParseException e) {
            usage(command.code() + ": " + e.getMessage());
        } catch (IOException | IllegalArgumentException e) {
            System.err.println(command.code() + ": " + e.getMessage());
            System.exit(EXIT_FAILED);
        }
    }

    /**
     * Limits logs to errors, since scripts parse standard output and info lines would mix with it.
     */
    private static void suppressLibraryLogs() {
        if (LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME) instanceof Logger root) {
            root.setLevel(Level.ERROR);
        }
    }

    private static void usage(String message) {
        System.err.println(message);
        System.exit(EXIT_USAGE);
    }

    private static String subcommands() {
        return Arrays.stream(Subcommand.values())
                .map(Subcommand::code)
                .collect(Collectors.joining(", "));
    }
}
