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
 * Makes one configuration change end to end: also a lost answer is settled.
 *
 * <p>After a lost answer the same write is sent again under the same precondition. It can take
 * effect only if the first did not, and else the conflict brings the object as it stands, whose
 * change id says whose it is; so reading back and trying again are one call, and a first try that
 * is still under way can't land on top of the second.
 */
public final class ConditionalChange {

    private final ObjectStore mStore;
    private final ConfigurationCodec mCodec;
    private final int mTries;
    private final long mPauseMillis;

    /**
     * Creates it.
     *
     * @param store where changes are written
     * @param codec reads the change id of what stands
     * @param tries how often a write is sent at most, above 0
     * @param pauseMillis wait between tries, in milliseconds
     */
    public ConditionalChange(
            ObjectStore store, ConfigurationCodec codec, int tries, long pauseMillis) {
        if (tries < 1) {
            throw new IllegalArgumentException("tries " + tries + " must be above 0");
        }
        mStore = store;
        mCodec = codec;
        mTries = tries;
        mPauseMillis = pauseMillis;
    }

    /**
     * Writes a configuration document.
     *
     * @param key key in the object API
     * @param changeId identity of this change, used for no other
     * @param spec the new spec
     * @param precondition what must hold
     * @return a left value only if it could not be settled; it says whether the change may have
     *     taken effect
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
                ChangeProgress.start(mTries));
    }

    /**
     * Deletes a configuration object; one that is gone after a lost answer counts as deleted.
     *
     * @param key key in the object API
     * @param version the version that the operator saw
     * @return as for {@link #put}
     */
    public CompletableFuture<Either<PlatformError, ChangeResult>> delete(String key, long version) {
        return run(
                () -> mStore.delete(key, version), Optional::isEmpty, ChangeProgress.start(mTries));
    }

    private CompletableFuture<Either<PlatformError, ChangeResult>> run(
            Supplier<CompletableFuture<Either<PlatformError, WriteResult>>> write,
            Predicate<Optional<StoredObject>> own,
            ChangeProgress progress) {
        return write.get()
                .thenCompose(
                        answer -> {
                            ChangeProgress.Step step = progress.after(answer, own);
                            return step.outcome()
                                    .map(CompletableFuture::completedFuture)
                                    .orElseGet(() -> again(write, own, step.again().orElseThrow()));
                        });
    }

    private CompletableFuture<Either<PlatformError, ChangeResult>> again(
            Supplier<CompletableFuture<Either<PlatformError, WriteResult>>> write,
            Predicate<Optional<StoredObject>> own,
            ChangeProgress progress) {
        Executor later = CompletableFuture.delayedExecutor(mPauseMillis, TimeUnit.MILLISECONDS);
        return CompletableFuture.supplyAsync(() -> run(write, own, progress), later)
                .thenCompose(result -> result);
    }
}
