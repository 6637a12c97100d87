package org.cyclamenpaddle.ctl.command;

import io.vavr.control.Either;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.cyclamenpaddle.core.config.ObjectKind;
import org.cyclamenpaddle.ctl.report.CommandError;
import org.cyclamenpaddle.ctl.report.Report;

/** The commands: words, options, help text and action of each. */
enum CtlCommand {
    LIST("KIND list", "List the objects of a kind.", Set.of(), ObjectCommands::list),
    SHOW("KIND show NAME", "Show an object with its version.", Set.of(), ObjectCommands::show),
    APPLY_KIND(
            "KIND apply",
            "Create or change the objects of one kind that a file declares.",
            Set.of(CtlOption.FILE, CtlOption.EXPECT_VERSION),
            ApplyCommand::run),
    DELETE(
            "KIND delete NAME",
            "Delete an object that no other object references.",
            Set.of(CtlOption.EXPECT_VERSION),
            ObjectCommands::delete),
    APPLY(
            "apply",
            "Create or change all objects that a file declares: services, then backend servers,"
                    + " then presets.",
            Set.of(CtlOption.FILE, CtlOption.EXPECT_VERSION),
            ApplyCommand::run),
    USE(
            "preset use NAME",
            "Put a preset in force, replacing the one currently in force.",
            Set.of(CtlOption.WAIT, CtlOption.TIMEOUT, CtlOption.EXPECT_VERSION),
            PresetUseCommand::run),
    DRAIN(
            "backend drain NAME",
            "Stop sending new requests to a backend server; requests in flight are completed.",
            Set.of(),
            ObjectCommands::drain),
    STATUS(
            "status",
            "Show hosts, backend servers, the preset in force, refusals and retries.",
            Set.of(),
            StatusCommand::run),
    EXPLAIN(
            "explain REQUEST",
            "Show the decisions for a request and their reasons; the entry hosts given by --server"
                    + " are queried in turn.",
            Set.of(),
            ExplainCommand::run),
    EXPLAIN_LOG(
            "log explain REQUEST",
            "Show what relays logged about a request, and the state changes of the backend servers"
                    + " and the store just before; reads a file and contacts no host.",
            Set.of(CtlOption.FILE),
            LogExplainCommand::run),
    REPORT_LOG(
            "log report",
            "Summarize the outcomes of requests from relay logs, by second and by route, with the"
                + " reasons of requests that did not complete; reads a file and contacts no host.",
            Set.of(CtlOption.FILE),
            LogReportCommand::run);

    static final String KIND = "KIND";

    private static final Set<ObjectKind> KINDS =
            Set.of(ObjectKind.SERVICE, ObjectKind.BACKEND, ObjectKind.PRESET);

    private final List<String> mWords;
    private final String mHelp;
    private final Set<CtlOption> mOptions;
    private final Action mAction;

    CtlCommand(String words, String help, Set<CtlOption> options, Action action) {
        mWords = List.of(words.split(" "));
        mHelp = help;
        mOptions = options;
        mAction = action;
    }

    /** Returns the command that {@code words} match. */
    static Optional<CtlCommand> of(List<String> words) {
        return Arrays.stream(values()).filter(command -> command.matches(words)).findFirst();
    }

    /** Returns the commands that start with {@code words}; all commands if there are no words. */
    static List<CtlCommand> startingWith(List<String> words) {
        return Arrays.stream(values()).filter(command -> command.hasPrefix(words)).toList();
    }

    /** Returns the words of the command with its required options, for help texts. */
    String usage() {
        String words = String.join(" ", mWords).replace(KIND, "service|backend|preset");
        return mOptions.contains(CtlOption.FILE) ? words + " -f FILE" : words;
    }

    String help() {
        return mHelp;
    }

    /** Returns whether the command takes {@code option} in addition to the global options. */
    boolean takes(CtlOption option) {
        return mOptions.contains(option);
    }

    Optional<ObjectKind> kind(List<String> words) {
        return ObjectKind.fromCode(words.get(0)).filter(KINDS::contains);
    }

    String name(List<String> words) {
        String last = mWords.get(mWords.size() - 1);
        return isPlaceholder(last) ? words.get(words.size() - 1) : "";
    }

    Either<CommandError, Report> run(Arguments arguments, Session session) {
        return mAction.run(arguments, session);
    }

    private boolean matches(List<String> words) {
        return words.size() == mWords.size() && hasPrefix(words);
    }

    private boolean hasPrefix(List<String> words) {
        return words.size() <= mWords.size()
                && IntStream.range(0, words.size())
                        .allMatch(i -> matches(mWords.get(i), words.get(i)));
    }

    private static boolean matches(String expected, String word) {
        if (expected.equals(KIND)) {
            return ObjectKind.fromCode(word).filter(KINDS::contains).isPresent();
        }
        return isPlaceholder(expected) || expected.equals(word);
    }

    private static boolean isPlaceholder(String word) {
        return Character.isUpperCase(word.charAt(0));
    }

    /** Implementation of a command. */
    @FunctionalInterface
    interface Action {

        Either<CommandError, Report> run(Arguments arguments, Session session);
    }
}
