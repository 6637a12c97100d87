package org.cyclamenpaddle.store.objects;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.cyclamenpaddle.core.id.ChangeId;
import org.cyclamenpaddle.store.codec.ConfigurationCodec;
import org.cyclamenpaddle.store.http.PlatformError;

/**
 * Makes a configuration change and determines its outcome, even if a response is lost.
 *
 * <p>After a lost response the same write is retried under the same precondition. It can take
 * effect only if the first one did not; otherwise the conflict returns the current object, whose
 * change id identifies its writer. So the retry also reads the object back, and a first attempt
 * that is still in flight can't overwrite the second.
 */
public final class ConditionalChange {

    private final ObjectStore mStore;
    private final ConfigurationCodec mCodec;
    private final int mMaxAttempts;
    private final long mRetryDelayMillis;

    /**
     * Creates a change writer.
     *
     * @param store the store to write to
     * @param codec reads the change id of the current object
     * @param maxAttempts maximum number of times that a write is sent, above 0
     * @param retryDelayMillis delay between attempts, in milliseconds
     */
    public ConditionalChange(
            ObjectStore store, ConfigurationCodec codec, int maxAttempts, long retryDelayMillis) {
        if (maxAttempts < 1) {
            throw new IllegalArgumentException("attempts " + maxAttempts + " must be above 0");
        }
        mStore = store;
        mCodec = codec;
        mMaxAttempts = maxAttempts;
        mRetryDelayMillis = retryDelayMillis;
    }

    /**
     * Writes a configuration document.
     *
     * @param key key in the object API
     * @param changeId id of this change, unique to it
     * @param spec the new spec
     * @param precondition what must hold
     * @return a left value only if the outcome is unknown or no write was accepted; it states
     *     whether the change may have taken effect
     */
    public CompletableFuture<Either<PlatformError, ChangeResult>> put(
            String key, ChangeId changeId, Object spec, WritePrecondition precondition) {
        String document = mCodec.encode(changeId, spec);
        return run(
                () -> mStore.put(key, document, precondition),
                current ->
                        current.flatMap(object -> mCodec.changeId(object.value()))
                                .filter(changeId::equals)
                                .isPresent(),
                ChangeProgress.start(mMaxAttempts));
    }

    /**
     * Deletes a configuration object; one that is absent after a lost response counts as deleted.
     *
     * @param key key in the object API
     * @param version the version that the operator saw
     * @return as for {@link #put}
     */
    public CompletableFuture<Either<PlatformError, ChangeResult>> delete(String key, long version) {
        return run(
                () -> mStore.delete(key, version),
                Optional::isEmpty,
                ChangeProgress.start(mMaxAttempts));
    }

    private CompletableFuture<Either<PlatformError, ChangeResult>> run(
            Supplier<CompletableFuture<Either<PlatformError, WriteResult>>> write,
            Predicate<Optional<StoredObject>> own,
            ChangeProgress progress) {
        return write.get()
                .thenCompose(
                        writeResult -> {
                            ChangeProgress.Step step = progress.after(writeResult, own);
                            return step.outcome()
                                    .map(CompletableFuture::completedFuture)
                                    .orElseGet(() -> retry(write, own, step.retry().orElseThrow()));
                        });
    }

    private CompletableFuture<Either<PlatformError, ChangeResult>> retry(
            Supplier<CompletableFuture<Either<PlatformError, WriteResult>>> write,
            Predicate<Optional<StoredObject>> own,
            ChangeProgress progress) {
        Executor delayed =
                CompletableFuture.delayedExecutor(mRetryDelayMillis, TimeUnit.MILLISECONDS);
        return CompletableFuture.supplyAsync(() -> run(write, own, progress), delayed)
                .thenCompose(result -> result);
    }
}
