package org.cyclamenpaddle.relay.backend;

/** This host's own open work on one backend server; not thread-safe. */
final class OpenWork {

    private int mRequests;
    private long mUnreadTokens;

    void started(WorkSize size) {
        mRequests++;
        mUnreadTokens += size.promptTokens();
    }

    /** Notes that a prompt was read: its first token is there. */
    void promptRead(WorkSize size) {
        mUnreadTokens -= size.promptTokens();
    }

    void ended(WorkSize size, boolean promptRead) {
        mRequests--;
        if (!promptRead) {
            mUnreadTokens -= size.promptTokens();
        }
    }

    int requests() {
        return mRequests;
    }

    long unreadTokens() {
        return mUnreadTokens;
    }
}
