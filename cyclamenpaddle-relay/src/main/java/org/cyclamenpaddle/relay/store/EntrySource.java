package org.cyclamenpaddle.relay.store;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Access to one kind of objects in a store.
 *
 * <p>Futures never fail; a call without a result returns a {@link StoreFailure}.
 *
 * @param <T> type of the objects' content
 */
public interface EntrySource<T> {

    /**
     * Lists the objects.
     *
     * @param after name after which the listing continues; empty to start at the beginning
     */
    CompletableFuture<Either<StoreFailure, EntryPage<T>>> list(Optional<String> after);

    /**
     * Waits for changes.
     *
     * @param revision revision after which changes are returned
     * @param waitMillis maximum wait, in milliseconds; the result is empty if nothing has changed
     *     by then, and never outdated
     */
    CompletableFuture<Either<StoreFailure, EntryPage<T>>> watch(long revision, long waitMillis);

    /**
     * Requests changes without waiting, at a fraction of the cost of {@link #watch}.
     *
     * @param revision revision after which changes are returned
     * @return changes; those of the last seconds may be missing, so that none shows nothing
     */
    CompletableFuture<Either<StoreFailure, EntryPage<T>>> recentChanges(long revision);
}
