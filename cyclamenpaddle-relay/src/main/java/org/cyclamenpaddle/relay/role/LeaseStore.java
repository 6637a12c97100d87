package org.cyclamenpaddle.relay.role;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.relay.store.StoreFailure;

/** Where the lease is kept; futures never fail. */
public interface LeaseStore {

    /** Reads the lease; empty if there has never been one. */
    CompletableFuture<Either<StoreFailure, Optional<StoredLease>>> read();

    /**
     * Writes the lease on a condition.
     *
     * @param record what it is to say
     * @param revision revision that it must have; empty if it must not be there
     * @return empty if the condition did not hold
     */
    CompletableFuture<Either<StoreFailure, Optional<StoredLease>>> write(
            LeaseRecord record, OptionalLong revision);
}
