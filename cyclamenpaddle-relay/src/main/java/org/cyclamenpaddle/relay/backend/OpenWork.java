package org.cyclamenpaddle.relay.backend;

/** This host's own open work on one backend server; not thread-safe. */
final class OpenWork {

    private int mRequests;
    private long mTokens;
    private long mUnreadTokens;

    void started(WorkSize size) {
        mRequests++;
        mTokens += size.memoryTokens();
        mUnreadTokens += size.promptTokens();
    }

    /** Notes that a prompt was read: its first token is there. */
    void promptRead(WorkSize size) {
        mUnreadTokens -= size.promptTokens();
    }

    void ended(WorkSize size, boolean promptRead) {
        mRequests--;
        mTokens -= size.memoryTokens();
        if (!promptRead) {
            mUnreadTokens -= size.promptTokens();
        }
    }

    int requests() {
        return mRequests;
    }

    long tokens() {
        return mTokens;
    }

    long unreadTokens() {
        return mUnreadTokens;
    }
}
