package org.cyclamenpaddle.relay.front;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * Delays requests that arrive before this host has the data to route them.
 *
 * <p>A process listens a tenth of a second to three quarters of a second before its first store
 * listings are complete. Callers that a power loss disconnected retry in just that time; a refusal
 * would use up their only retry. Requests wait while the listings are in progress and no longer: as
 * soon as a store call fails, or after {@link #MAX_WAIT_MILLIS}, they are refused at once.
 */
public final class StartupGate {

    /**
     * Maximum wait after the process starts to listen, in milliseconds.
     *
     * <p>A host with a quarter of a core needs 750 ms for its first listings when all hosts start
     * at once. With 500 ms it refused requests that it could have served a moment later. Callers
     * abandon a request that is not read for a second, but waiting requests have been read.
     */
    public static final long MAX_WAIT_MILLIS = 900;

    private final CompletableFuture<Void> mOpen = new CompletableFuture<>();

    /** Releases all waiting requests; later ones do not wait. */
    public void open() {
        mOpen.complete(null);
    }

    boolean isOpen() {
        return mOpen.isDone();
    }

    CompletionStage<Void> whenOpen() {
        return mOpen;
    }
}
