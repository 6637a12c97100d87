package org.cyclamenpaddle.ctl.command;

import com.linecorp.armeria.client.Endpoint;
import io.vavr.control.Either;
import java.io.PrintStream;
import java.util.List;
import java.util.function.Function;
import org.apache.commons.cli.CommandLine;
import org.cyclamenpaddle.ctl.report.CommandError;
import org.cyclamenpaddle.ctl.report.ExitCode;
import org.cyclamenpaddle.ctl.report.OutputFormat;

/** Runs one command line. */
public final class Cyclamenctl {

    private final Function<List<Endpoint>, Session> mSessionFactory;
    private final PrintStream mOut;
    private final PrintStream mErr;

    /**
     * Creates the command-line program.
     *
     * @param sessionFactory creates the session for the entry hosts that the command line names
     * @param out stream for results
     * @param err stream for errors
     */
    public Cyclamenctl(
            Function<List<Endpoint>, Session> sessionFactory, PrintStream out, PrintStream err) {
        mSessionFactory = sessionFactory;
        mOut = out;
        mErr = err;
    }

    /**
     * Runs a command line and prints its result or its error.
     *
     * @param line command words and options
     * @return exit code of the process
     */
    public ExitCode run(String... line) {
        Either<CommandError, CommandLine> parsed = Invocation.parse(line);
        if (parsed.isLeft()) {
            return reportUsageError(parsed.getLeft());
        }
        List<String> words = parsed.get().getArgList();
        if (CtlOption.HELP.in(parsed.get()) || words.isEmpty()) {
            mOut.print(HelpText.of(words));
            return words.isEmpty() && !CtlOption.HELP.in(parsed.get())
                    ? ExitCode.USAGE
                    : ExitCode.DONE;
        }
        return Invocation.of(parsed.get()).fold(this::reportUsageError, this::run);
    }

    private ExitCode run(Invocation invocation) {
        OutputFormat output = invocation.output();
        return invocation
                .command()
                .run(invocation.arguments(), mSessionFactory.apply(invocation.servers()))
                .fold(
                        error -> {
                            output.print(error, mErr);
                            return error.code();
                        },
                        report -> {
                            output.print(report, mOut);
                            return ExitCode.DONE;
                        });
    }

    private ExitCode reportUsageError(CommandError error) {
        OutputFormat.TABLE.print(error, mErr);
        mErr.println("See cyclamenctl --help.");
        return error.code();
    }
}
