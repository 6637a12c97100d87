package org.cyclamenpaddle.ctl.command;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Options of the command line. */
enum CtlOption {
    SERVER(
            null,
            "server",
            "IP:PORT",
            "HTTP address of an entry host; may be repeated, the next is tried if one is"
                    + " unreachable; default "
                    + CtlOption.DEFAULT_SERVER),
    OUTPUT(null, "output", "FORMAT", "table (default) or json"),
    FILE(
            "f",
            "file",
            "FILE",
            "TOML file of objects: [[service]], [[backend]], [[preset]]; for 'log explain' the"
                    + " logs of one or more relays"),
    EXPECT_VERSION(
            null,
            "expect-version",
            "N",
            "make the change only if the object is at this version, 0 if it must not exist;"
                    + " default: the version read just before the change"),
    WAIT(null, "wait", null, "wait until the preset is in force on every live entry host"),
    TIMEOUT(
            null,
            "timeout",
            "SECONDS",
            "maximum wait; default " + CtlOption.DEFAULT_TIMEOUT_SECONDS),
    HELP("h", "help", null, "print the help text of the program or of a command");

    static final String DEFAULT_SERVER = "127.0.0.1:7100";
    static final int DEFAULT_TIMEOUT_SECONDS = 30;

    private final String mShortName;
    private final String mLongName;
    private final String mArgument;
    private final String mDescription;

    CtlOption(String shortName, String longName, String argument, String description) {
        mShortName = shortName;
        mLongName = longName;
        mArgument = argument;
        mDescription = description;
    }

    /** Returns all options as options of the parser library. */
    static Options all() {
        Options options = new Options();
        for (CtlOption option : values()) {
            options.addOption(option.parserOption());
        }
        return options;
    }

    Option parserOption() {
        Option.Builder builder = Option.builder(mShortName).longOpt(mLongName).desc(mDescription);
        return (mArgument == null ? builder : builder.hasArg().argName(mArgument)).get();
    }

    String longName() {
        return mLongName;
    }

    boolean in(CommandLine line) {
        return line.hasOption(mLongName);
    }

    String value(CommandLine line, String defaultValue) {
        return line.getOptionValue(mLongName, defaultValue);
    }
}
