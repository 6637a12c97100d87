package org.cyclamenpaddle.ctl.command;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.help.HelpFormatter;
import org.apache.commons.cli.help.TextHelpAppendable;
import org.cyclamenpaddle.ctl.report.ExitCode;
import org.cyclamenpaddle.ctl.report.ReportTable;

/** Help texts of the program and of its commands. */
final class HelpText {

    private static final int WIDTH = 100;

    private HelpText() {}

    /**
     * Returns the help text of the commands that start with {@code words}; of all commands if there
     * is none.
     */
    static String of(List<String> words) {
        List<CtlCommand> matching = CtlCommand.startingWith(words);
        List<CtlCommand> listed = matching.isEmpty() ? List.of(CtlCommand.values()) : matching;
        StringBuilder text = new StringBuilder();
        appendLine(text, "Usage: cyclamenctl [--server IP:PORT]... [--output table|json] COMMAND");
        appendLine(text, "");
        appendLine(text, "Commands:");
        listed.forEach(command -> appendCommand(text, command));
        appendLine(text, "");
        text.append(options(listed));
        appendLine(text, "Exit codes:");
        exitCodes().lines().forEach(row -> appendLine(text, "  " + row));
        return text.toString();
    }

    private static void appendCommand(StringBuilder text, CtlCommand command) {
        appendLine(text, "  cyclamenctl " + command.usage());
        appendLine(text, "      " + command.help());
    }

    private static String options(List<CtlCommand> listed) {
        Options options = new Options();
        Arrays.stream(CtlOption.values())
                .filter(
                        option ->
                                isGlobal(option) || listed.stream().anyMatch(c -> c.takes(option)))
                .forEach(option -> options.addOption(option.parserOption()));
        StringBuilder text = new StringBuilder();
        TextHelpAppendable appendable = new TextHelpAppendable(text);
        appendable.setMaxWidth(WIDTH);
        try {
            appendable.appendTable(
                    HelpFormatter.builder()
                            .setShowSince(false)
                            .get()
                            .getTableDefinition(options.getOptions()));
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
        return text.toString();
    }

    private static boolean isGlobal(CtlOption option) {
        return Stream.of(CtlOption.SERVER, CtlOption.OUTPUT, CtlOption.HELP)
                .anyMatch(option::equals);
    }

    private static ReportTable exitCodes() {
        List<List<String>> rows =
                Arrays.stream(ExitCode.values())
                        .map(
                                code ->
                                        List.of(
                                                Integer.toString(code.number()),
                                                code.name(),
                                                code.meaning()))
                        .toList();
        return new ReportTable(List.of("code", "name", "meaning"), rows);
    }

    private static void appendLine(StringBuilder text, String line) {
        text.append(line).append('\n');
    }
}
