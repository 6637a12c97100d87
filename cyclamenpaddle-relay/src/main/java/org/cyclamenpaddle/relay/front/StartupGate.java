package org.cyclamenpaddle.relay.front;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * Delays requests that arrive before this host has the data to route them.
 *
 * <p>A process listens about a tenth of a second before its first store listings are complete.
 * Callers that a power loss disconnected retry in just that time; a refusal would use up their only
 * retry. Requests wait while the listings are in progress and no longer: as soon as a store call
 * fails, or after {@link #MAX_WAIT_MILLIS}, they are refused at once.
 */
public final class StartupGate {

    /**
     * Maximum wait after the process starts to listen, in milliseconds: several times the duration
     * of the listings when all hosts start at once, and half of the second after which callers
     * abandon a request that is not read.
     */
    public static final long MAX_WAIT_MILLIS = 500;

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
