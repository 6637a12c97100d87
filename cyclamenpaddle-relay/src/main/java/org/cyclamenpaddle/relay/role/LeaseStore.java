package org.cyclamenpaddle.relay.role;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.relay.store.StoreFailure;

/** Store of the lease; its futures never fail. */
public interface LeaseStore {

    /** Reads the lease; empty if none has been created yet. */
    CompletableFuture<Either<StoreFailure, Optional<StoredLease>>> read();

    /**
     * Writes the lease conditionally.
     *
     * @param record new content of the lease
     * @param revision revision that the lease must have; empty if it must not exist
     * @return the stored lease; empty if the condition did not hold
     */
    CompletableFuture<Either<StoreFailure, Optional<StoredLease>>> write(
            LeaseRecord record, OptionalLong revision);
}
