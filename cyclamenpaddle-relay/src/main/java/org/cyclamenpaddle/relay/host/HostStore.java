package org.cyclamenpaddle.relay.host;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.relay.store.Entry;
import org.cyclamenpaddle.relay.store.StoreFailure;

/** Where hosts announce themselves; futures never fail. */
public interface HostStore {

    /**
     * Announces this host, or renews that.
     *
     * @param host its name
     * @param beat differs from the last one
     * @return whether the store has taken it
     */
    CompletableFuture<Boolean> announce(String host, long beat);

    /** Returns the newest beat of each host that has announced itself. */
    CompletableFuture<Either<StoreFailure, List<Entry<Long>>>> heartbeats();

    /** Removes the entry of a host that is gone. */
    CompletableFuture<Boolean> remove(String host);
}
