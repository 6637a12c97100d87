package org.cyclamenpaddle.relay.backend;

/** Which part of a request a backend server takes. */
public enum BackendStage {
    /** The whole of a request: a plain service, or an engine without stages. */
    WHOLE(true),
    /** Reads prompts only. */
    PREFILL(false),
    /** Generates, and reads a prompt itself where no one else has. */
    DECODE(true);

    private final boolean mRuns;

    BackendStage(boolean runs) {
        mRuns = runs;
    }

    /** Returns whether requests run to their end here. */
    public boolean completesRequests() {
        return mRuns;
    }
}
