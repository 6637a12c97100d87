package org.cyclamenpaddle.relay.store;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * One kind of objects in a store.
 *
 * <p>Futures never fail; a call that brought nothing is a {@link StoreFailure}.
 *
 * @param <T> type of what the objects say
 */
public interface EntrySource<T> {

    /**
     * Lists the objects.
     *
     * @param after name after which to go on; empty for the beginning
     */
    CompletableFuture<Either<StoreFailure, EntryPage<T>>> list(Optional<String> after);

    /**
     * Waits for changes.
     *
     * @param revision revision after which changes are wanted
     * @param waitMillis longest wait, in milliseconds; the result is then empty
     */
    CompletableFuture<Either<StoreFailure, EntryPage<T>>> watch(long revision, long waitMillis);

    /**
     * Asks for changes without a wait, at a fraction of the cost of {@link #watch}.
     *
     * @param revision revision after which changes are wanted
     * @return changes that may lack those of the last seconds
     */
    CompletableFuture<Either<StoreFailure, EntryPage<T>>> recentChanges(long revision);
}
