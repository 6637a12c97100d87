package org.cyclamenpaddle.relay.host;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.relay.store.StoreEntry;
import org.cyclamenpaddle.relay.store.StoreFailure;

/** Store in which hosts register; its futures never fail. */
public interface HostStore {

    /**
     * Registers this host or renews its registration.
     *
     * @param host name of this host
     * @param entry registration with a new heartbeat
     * @return whether the store accepted it
     */
    CompletableFuture<Boolean> announce(String host, HostEntry entry);

    /** Returns the latest entry of each registered host. */
    CompletableFuture<Either<StoreFailure, List<StoreEntry<HostEntry>>>> entries();

    /** Removes the entry of a host that has stopped. */
    CompletableFuture<Boolean> remove(String host);
}
