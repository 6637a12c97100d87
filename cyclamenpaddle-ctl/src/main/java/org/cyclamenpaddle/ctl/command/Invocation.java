package org.cyclamenpaddle.ctl.command;

import static io.vavr.control.Validation.fromEither;

import com.linecorp.armeria.client.Endpoint;
import io.vavr.collection.Seq;
import io.vavr.control.Either;
import io.vavr.control.Validation;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.ParseException;
import org.cyclamenpaddle.ctl.report.CommandError;
import org.cyclamenpaddle.ctl.report.ExitCode;
import org.cyclamenpaddle.ctl.report.OutputFormat;

/**
 * A parsed and validated command line.
 *
 * @param command the command
 * @param arguments its arguments
 * @param servers entry hosts in the order in which they are tried
 * @param output output format of the result
 */
record Invocation(
        CtlCommand command, Arguments arguments, List<Endpoint> servers, OutputFormat output) {

    private static final long MILLIS_PER_SECOND = 1_000;
    private static final long MAX_TIMEOUT_SECONDS = 86_400;

    /** Parses a command line into options and positional words. */
    static Either<CommandError, CommandLine> parse(String... line) {
        try {
            return Either.right(new DefaultParser(false).parse(CtlOption.all(), line));
        } catch (ParseException invalid) {
            return Either.left(usage(invalid.getMessage()));
        }
    }

    /** Validates the words and options of a command line. */
    static Either<CommandError, Invocation> of(CommandLine line) {
        List<String> words = line.getArgList();
        Optional<CtlCommand> command = CtlCommand.of(words);
        if (command.isEmpty()) {
            return Either.left(usage("no such command: " + String.join(" ", words)));
        }
        Optional<CommandError> optionError = optionError(command.get(), line);
        if (optionError.isPresent()) {
            return Either.left(optionError.get());
        }
        return Validation.combine(
                        fromEither(arguments(command.get(), words, line)),
                        fromEither(servers(line)),
                        fromEither(output(line)))
                .ap(
                        (arguments, servers, output) ->
                                new Invocation(command.get(), arguments, servers, output))
                .toEither()
                .mapLeft(Seq::head);
    }

    /** Returns the output format, or a usage error if the value of the option is invalid. */
    static Either<CommandError, OutputFormat> output(CommandLine line) {
        String word = CtlOption.OUTPUT.value(line, OutputFormat.TABLE.code());
        return OutputFormat.fromCode(word)
                .<Either<CommandError, OutputFormat>>map(Either::right)
                .orElseGet(() -> Either.left(usage("--output takes table or json, not " + word)));
    }

    private static Optional<CommandError> optionError(CtlCommand command, CommandLine line) {
        Stream<CtlOption> commandOptions =
                Stream.of(
                        CtlOption.FILE,
                        CtlOption.EXPECT_VERSION,
                        CtlOption.WAIT,
                        CtlOption.TIMEOUT);
        if (command.takes(CtlOption.FILE) && !CtlOption.FILE.in(line)) {
            return Optional.of(usage("'" + command.usage() + "' needs -f FILE"));
        }
        return commandOptions
                .filter(option -> option.in(line) && !command.takes(option))
                .findFirst()
                .map(o -> usage("'" + command.usage() + "' takes no --" + o.longName()));
    }

    private static Either<CommandError, Arguments> arguments(
            CtlCommand command, List<String> words, CommandLine line) {
        return Validation.combine(
                        fromEither(number(line, CtlOption.EXPECT_VERSION, Long.MAX_VALUE)),
                        fromEither(waitMillis(line)))
                .ap(
                        (version, millis) ->
                                new Arguments(
                                        command.kind(words),
                                        command.name(words),
                                        CtlOption.FILE.value(line, ""),
                                        version,
                                        millis))
                .toEither()
                .mapLeft(Seq::head);
    }

    private static Either<CommandError, OptionalLong> waitMillis(CommandLine line) {
        return number(line, CtlOption.TIMEOUT, MAX_TIMEOUT_SECONDS)
                .map(
                        seconds ->
                                CtlOption.WAIT.in(line)
                                        ? OptionalLong.of(
                                                MILLIS_PER_SECOND
                                                        * seconds.orElse(
                                                                CtlOption.DEFAULT_TIMEOUT_SECONDS))
                                        : OptionalLong.empty());
    }

    private static Either<CommandError, OptionalLong> number(
            CommandLine line, CtlOption option, long max) {
        if (!option.in(line)) {
            return Either.right(OptionalLong.empty());
        }
        String text = option.value(line, "");
        try {
            long number = Long.parseLong(text);
            return number >= 0 && number <= max
                    ? Either.right(OptionalLong.of(number))
                    : Either.left(usage("--" + option.longName() + " out of range: " + number));
        } catch (NumberFormatException malformed) {
            return Either.left(usage("--" + option.longName() + " takes a number, not " + text));
        }
    }

    private static Either<CommandError, List<Endpoint>> servers(CommandLine line) {
        String[] values = line.getOptionValues(CtlOption.SERVER.longName());
        List<String> texts =
                values == null ? List.of(CtlOption.DEFAULT_SERVER) : Arrays.asList(values);
        List<Endpoint> endpoints =
                texts.stream().map(Invocation::endpoint).flatMap(Optional::stream).toList();
        return endpoints.size() == texts.size()
                ? Either.right(endpoints)
                : Either.left(usage("--server takes IP:PORT, got " + texts));
    }

    private static Optional<Endpoint> endpoint(String text) {
        try {
            return Optional.of(Endpoint.parse(text))
                    .filter(endpoint -> endpoint.isIpAddrOnly() && endpoint.hasPort());
        } catch (IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }

    private static CommandError usage(String message) {
        return CommandError.of(ExitCode.USAGE, message);
    }
}
