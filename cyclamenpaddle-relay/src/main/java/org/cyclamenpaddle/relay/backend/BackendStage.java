package org.cyclamenpaddle.relay.backend;

/** Stage of request processing that a backend server performs. */
public enum BackendStage {
    /** Processes complete requests: a plain service, or an engine without stages. */
    WHOLE(true),
    /** Prefills prompts only. */
    PREFILL(false),
    /** Generates tokens, and prefills a prompt itself if no prefill engine has done so. */
    DECODE(true);

    private final boolean mCompletesRequests;

    BackendStage(boolean completesRequests) {
        mCompletesRequests = completesRequests;
    }

    /**
     * Returns the number of calls that a request makes to a server of this stage.
     *
     * @param size size of its work
     */
    public int calls(WorkSize size) {
        return mCompletesRequests ? size.calls() : 1;
    }

    /** Returns whether requests run to completion on a server of this stage. */
    public boolean completesRequests() {
        return mCompletesRequests;
    }
}
