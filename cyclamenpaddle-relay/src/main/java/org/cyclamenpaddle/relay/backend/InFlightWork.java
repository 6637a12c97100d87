package org.cyclamenpaddle.relay.backend;

/** Tracks this host's own in-flight work on one backend server; not thread-safe. */
final class InFlightWork {

    private int mRequests;
    private long mPendingPromptTokens;

    void recordStart(WorkSize size) {
        mRequests++;
        mPendingPromptTokens += size.promptTokens();
    }

    /** Records that the prefill of a prompt is complete: its first token has arrived. */
    void recordPrefillDone(WorkSize size) {
        mPendingPromptTokens -= size.promptTokens();
    }

    void recordEnd(WorkSize size, boolean prefillDone) {
        mRequests--;
        if (!prefillDone) {
            mPendingPromptTokens -= size.promptTokens();
        }
    }

    int requests() {
        return mRequests;
    }

    long pendingPromptTokens() {
        return mPendingPromptTokens;
    }
}
