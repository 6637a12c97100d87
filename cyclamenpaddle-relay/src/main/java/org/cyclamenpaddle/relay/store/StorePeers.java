package org.cyclamenpaddle.relay.store;

import java.util.concurrent.CompletableFuture;

/** Asks other hosts whether the store was available. */
@FunctionalInterface
public interface StorePeers {

    /**
     * Asks some hosts whether the store has answered them within a time.
     *
     * @param fromMillis begin of the time, in milliseconds before now
     * @param toMillis end of the time, in milliseconds before now
     * @return completes with true if one of them says so, otherwise with false; never exceptionally
     */
    CompletableFuture<Boolean> answered(long fromMillis, long toMillis);
}
