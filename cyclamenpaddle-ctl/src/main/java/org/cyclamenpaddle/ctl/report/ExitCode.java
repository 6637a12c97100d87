package org.cyclamenpaddle.ctl.report;

/** Exit codes of {@code cyclamenctl}; the meaning of a number never changes. */
public enum ExitCode {
    DONE(0, "The command did what was asked."),
    USAGE(2, "The command line is wrong; nothing was sent."),
    BAD_FILE(3, "The file cannot be read or is not what the command takes; nothing was sent."),
    UNREACHABLE(4, "No entry host answered; nothing was changed."),
    NOT_FOUND(5, "There is no such object or request."),
    CONFLICT(6, "Another change came first; the message says who won."),
    REFUSED(7, "The entry host refused; the message gives the reason."),
    UNKNOWN(8, "The change may or may not have been made; show the object to learn which."),
    TIMED_OUT(9, "The preset is accepted but was not seen in force on every live host in time.");

    private final int mNumber;
    private final String mMeaning;

    ExitCode(int number, String meaning) {
        mNumber = number;
        mMeaning = meaning;
    }

    /** Returns the exit status of the process. */
    public int number() {
        return mNumber;
    }

    /** Returns the description in the help text, one sentence. */
    public String meaning() {
        return mMeaning;
    }
}
