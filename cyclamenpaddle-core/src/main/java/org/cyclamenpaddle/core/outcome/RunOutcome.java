package org.cyclamenpaddle.core.outcome;

/** Outcome of a call, as reported to its caller. */
public enum RunOutcome {
    /** It provably did not run: no byte of it was sent to any backend server. */
    NOT_RUN("not-run"),
    /** It ran, and its response is known. */
    RAN("ran"),
    /** It may or may not have run. */
    UNKNOWN("unknown");

    private final String mCode;

    RunOutcome(String code) {
        mCode = code;
    }

    /** Returns the wire form, as in the {@code outcome} member of a problem document. */
    public String code() {
        return mCode;
    }
}
