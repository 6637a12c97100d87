package org.cyclamenpaddle.store.objects;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.store.http.PlatformError;

/**
 * The platform's object API.
 *
 * <p>No method blocks, and no future completes exceptionally. Keys consist of letters, digits and
 * {@code . _ : - /}.
 */
public interface ObjectStore {

    /** Lists all objects whose key starts with {@code prefix}. */
    CompletableFuture<Either<PlatformError, Listing>> list(String prefix);

    /** Reads an object; empty if it does not exist. */
    CompletableFuture<Either<PlatformError, Optional<StoredObject>>> get(String key);

    /**
     * Writes an object if {@code precondition} holds.
     *
     * @param key its key
     * @param value its new text, at most one megabyte
     * @param precondition the precondition
     */
    CompletableFuture<Either<PlatformError, WriteResult>> put(
            String key, String value, WritePrecondition precondition);

    /**
     * Deletes an object if its version matches.
     *
     * @param key its key
     * @param version the expected version, above 0
     */
    CompletableFuture<Either<PlatformError, WriteResult>> delete(String key, long version);

    /**
     * Waits for changes of objects.
     *
     * @param prefix prefix of the keys to watch
     * @param afterRevision the last revision that the caller has received
     * @param waitMillis maximum wait for an event, in milliseconds
     */
    CompletableFuture<Either<PlatformError, WatchResult>> watch(
            String prefix, long afterRevision, long waitMillis);
}
