package org.cyclamenpaddle.store.objects;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.store.http.PlatformError;

/**
 * The platform's object API.
 *
 * <p>No method blocks, and no future completes exceptionally. Keys have letters, digits and {@code
 * . _ : - /}.
 */
public interface ObjectStore {

    /** Lists all objects whose key starts with {@code prefix}. */
    CompletableFuture<Either<PlatformError, Listing>> list(String prefix);

    /** Reads one object; empty if there is none. */
    CompletableFuture<Either<PlatformError, Optional<StoredObject>>> get(String key);

    /**
     * Writes an object if {@code precondition} holds.
     *
     * @param key its key
     * @param value its new text, at most one megabyte
     * @param precondition what must hold
     */
    CompletableFuture<Either<PlatformError, WriteResult>> put(
            String key, String value, WritePrecondition precondition);

    /**
     * Deletes an object if it is at a version.
     *
     * @param key its key
     * @param version the version, above 0
     */
    CompletableFuture<Either<PlatformError, WriteResult>> delete(String key, long version);

    /**
     * Waits for events.
     *
     * @param prefix start of the keys to watch
     * @param afterRevision the last revision that the watcher has seen
     * @param waitMillis longest wait for an event, in milliseconds
     */
    CompletableFuture<Either<PlatformError, WatchResult>> watch(
            String prefix, long afterRevision, long waitMillis);
}
