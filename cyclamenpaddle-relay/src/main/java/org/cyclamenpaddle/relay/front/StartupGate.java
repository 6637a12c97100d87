package org.cyclamenpaddle.relay.front;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * Lets requests wait that arrive before this host has read what it needs to decide them.
 *
 * <p>A process listens about a tenth of a second before its first listings are there. Callers that
 * were cut off by a power loss knock just then; refused, they would have used up the one time that
 * they come again. They wait while the listings are under way and no longer: as soon as the store
 * fails a call, or after {@link #MAX_WAIT_MILLIS}, they are refused at once as before.
 */
public final class StartupGate {

    /**
     * Longest wait after the process listens, in milliseconds: several times what the listings take
     * when all hosts start at once, and half of the second after which callers leave a request that
     * is not read.
     */
    public static final long MAX_WAIT_MILLIS = 500;

    private final CompletableFuture<Void> mOver = new CompletableFuture<>();

    /** Ends the wait of all requests, for good. */
    public void open() {
        mOver.complete(null);
    }

    boolean isOpen() {
        return mOver.isDone();
    }

    CompletionStage<Void> whenOpen() {
        return mOver;
    }
}
